// Package background runs the goroutines of a service that starts some while it serves requests.
package background

import "sync"

// Group is a sync.WaitGroup to which goroutines may be added at any time. Those that are added after Wait has been called run
// too, and are not waited for: the requests that add them may outlive the service. The zero value is empty.
type Group struct {
	wait sync.WaitGroup

	mu        sync.Mutex
	isWaiting bool
}

// Go calls f in a goroutine.
func (g *Group) Go(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isWaiting {
		go f()
		return
	}
	g.wait.Go(f)
}

// Wait waits for the goroutines that were added before it was called.
func (g *Group) Wait() {
	g.mu.Lock()
	g.isWaiting = true
	g.mu.Unlock()
	g.wait.Wait()
}
