package testbed

import (
	"sync"
	"time"
)

// Deduplicator remembers idempotency keys for the backends of a group. It may be called concurrently.
type Deduplicator interface {
	// First tells whether a key has not been seen within the window, and remembers a new one.
	First(key string, window time.Duration) bool
}

// KeyStore is a Deduplicator in memory. The zero KeyStore is empty and ready to use.
type KeyStore struct {
	mu     sync.Mutex
	seenAt map[string]time.Time
}

// First tells whether a key has not been seen within the window, and remembers a new one.
func (s *KeyStore) First(key string, window time.Duration) bool {
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
