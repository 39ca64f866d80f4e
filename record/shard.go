package record

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// CallShards is the number of streams over which the records of calls are
// sharded by key.
const CallShards = 4

// CallStream returns the name of the stream that holds the records of a key.
func CallStream(key string) string {
	return CallShardStream(CallShard(key))
}

// CallShard returns the number of a key's shard, from 0 to CallShards-1.
func CallShard(key string) int {
	return int(xxhash.Sum64String(key) % CallShards)
}

// CallShardStream returns the name of the stream of a shard.
func CallShardStream(shard int) string {
	return streamCallsPrefix + strconv.Itoa(shard)
}

// Streams returns the names of all streams that every node follows.
func Streams() []string {
	s := []string{StreamConfig, StreamControl, StreamSuspects}
	for i := range CallShards {
		s = append(s, CallShardStream(i))
	}
	return s
}
