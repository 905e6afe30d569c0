package testbed

import (
	"sync"
	"time"
)

// Deduplicator remembers idempotency keys for the backends of a group. It may be called concurrently.
type Deduplicator interface {
	// AddIfNew reports whether a key has not been seen within the window. If it is new, it is remembered.
	AddIfNew(key string, window time.Duration) bool
}

// KeyStore is an in-memory Deduplicator. The zero KeyStore is empty and ready to use.
type KeyStore struct {
	mu     sync.Mutex
	seenAt map[string]time.Time
}

// AddIfNew implements Deduplicator.
func (s *KeyStore) AddIfNew(key string, window time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if at, ok := s.seenAt[key]; ok && now.Sub(at) < window {
		return false
	}
	if s.seenAt == nil {
		s.seenAt = map[string]time.Time{}
	}
	s.seenAt[key] = now
	return true
}
