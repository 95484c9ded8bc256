package once

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// uuidVersionTimeOrdered is the UUID version whose first 48 bits are Unix time in milliseconds.
const uuidVersionTimeOrdered = 7

// KeyTime returns the timestamp in a time-ordered key (UUIDv7), and false for other keys.
func KeyTime(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != uuidVersionTimeOrdered || id.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), true
}

// KeyAccepted reports whether the key's timestamp is at most the retention period in the past and at
// most the skew bound in the future. Keys without a timestamp are always accepted.
func KeyAccepted(key string, now time.Time, s *Settings) bool {
	t, ok := KeyTime(key)
	if !ok {
		return true
	}
	return now.Sub(t) <= s.Retention && t.Sub(now) <= s.Skew
}

// ShardOf returns the index of the shard that holds a key, from 0 to shards-1.
func ShardOf(key string, shards int) int {
	return int(xxhash.Sum64String(key) % uint64(shards))
}

func layoutKey(service string) string { return "once/" + service + "/layout" }

func shardKey(service string, shard int) string {
	return "once/" + service + "/" + strconv.Itoa(shard)
}

func sealedKey(recordKey string, version uint64) string {
	return recordKey + "/" + strconv.FormatUint(version, 10)
}
