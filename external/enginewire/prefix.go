package enginewire

import "github.com/cespare/xxhash/v2"

// BlockTokens is the number of tokens in a block of the prefix cache. Prefix hashes count each word of a
// prompt as one token, so for them a block is BlockTokens words.
const BlockTokens = 256

// NewModelDigest returns the xxhash64 digest with which every hash of a prompt or answer for a model
// and adapter starts. The model, NUL, the adapter and NUL have been written to it.
func NewModelDigest(model, adapter string) *xxhash.Digest {
	d := xxhash.New()
	_, _ = d.WriteString(model)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(adapter)
	_, _ = d.WriteString("\x00")
	return d
}

// AppendPrefixHashes appends the hashes of the prefixes of a prompt that consist of whole blocks of
// BlockTokens words, the shortest prefix first, up to limit hashes. A hash is the xxhash64 of the model,
// NUL, the adapter, NUL and the bytes of the prompt up to the end of the prefix's last word. Cache
// events identify prefixes by these hashes.
func AppendPrefixHashes(dst []uint64, model, adapter, prompt string, limit int) []uint64 {
	d := NewModelDigest(model, adapter)
	words, hashedTo := 0, 0
	for i := 0; i < len(prompt) && limit > 0; i++ {
		wordEnds := !isSpace(prompt[i]) && (i+1 == len(prompt) || isSpace(prompt[i+1]))
		if !wordEnds {
			continue
		}
		words++
		if words%BlockTokens == 0 {
			_, _ = d.WriteString(prompt[hashedTo : i+1])
			hashedTo = i + 1
			dst = append(dst, d.Sum64())
			limit--
		}
	}
	return dst
}

// CountWords returns the number of words in a prompt, separated by white space. Engines use it as the
// number of prompt tokens if the request does not specify that number.
func CountWords(prompt string) int {
	n, inWord := 0, false
	for i := range len(prompt) {
		space := isSpace(prompt[i])
		if !space && !inWord {
			n++
		}
		inWord = !space
	}
	return n
}

// isSpace reports whether a byte is ASCII white space.
func isSpace(b byte) bool { return b == ' ' || b >= '\t' && b <= '\r' }
