package enginewire

import "github.com/cespare/xxhash/v2"

// BlockTokens is the length of a prefix cache block.
const BlockTokens = 256

// NewAnswerDigest returns a hash that has taken a model, NUL, an adapter and NUL.
func NewAnswerDigest(model, adapter string) *xxhash.Digest {
	d := xxhash.New()
	_, _ = d.WriteString(model)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(adapter)
	_, _ = d.WriteString("\x00")
	return d
}

// AppendPrefixHashes appends a hash for each leading run of whole blocks of BlockTokens words of
// the prompt, the shortest first and at most limit: xxhash64 of model, NUL, adapter, NUL and the
// prompt's bytes up to the end of the block's last word. Cache events name prefixes by them.
func AppendPrefixHashes(dst []uint64, model, adapter, prompt string, limit int) []uint64 {
	d := NewAnswerDigest(model, adapter)
	words, start := 0, 0
	for i := 0; i < len(prompt) && limit > 0; i++ {
		end := !isSpace(prompt[i]) && (i+1 == len(prompt) || isSpace(prompt[i+1]))
		if !end {
			continue
		}
		words++
		if words%BlockTokens == 0 {
			_, _ = d.WriteString(prompt[start : i+1])
			start = i + 1
			dst = append(dst, d.Sum64())
			limit--
		}
	}
	return dst
}

// CountWords returns the number of whitespace-separated words of a prompt, which is an engine's
// token count if the request gives none.
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

func isSpace(b byte) bool { return b == ' ' || b >= '\t' && b <= '\r' }
