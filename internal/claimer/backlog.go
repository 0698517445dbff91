package claimer

import (
	"context"

	"banyandock.example/banyandock/internal/encoder"
)

// Backlog returns the number of outcomes that are still to be settled in the background.
func (c *Claimer) Backlog() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.backlog) + c.settling
}

// AwaitSettled waits until all outcomes in the backlog are settled or the context ends. A dock that stops calls
// it before Close: the key of an outcome that is not recorded becomes in doubt.
func (c *Claimer) AwaitSettled(ctx context.Context) {
	for c.Backlog() > 0 && ctx.Err() == nil {
		c.wait(ctx, retryInterval)
	}
}

// settleInBackground queues an outcome to be settled in the background. If the backlog is full, the
// oldest outcome is dropped. Its key stays held, which is safe.
func (c *Claimer) settleInBackground(q encoder.SettleRequest) {
	c.mutex.Lock()
	c.add(q)
	c.mutex.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// add appends an outcome to the backlog and drops the oldest one if the backlog is full. The caller
// must hold the mutex.
func (c *Claimer) add(q encoder.SettleRequest) {
	if len(c.backlog) > 0 && len(c.backlog)+c.settling >= backlogEntries {
		c.backlog = c.backlog[1:]
	}
	c.backlog = append(c.backlog, q)
}

// loop settles the backlog whenever it is woken, until the claimer is closed.
func (c *Claimer) loop() {
	defer c.tasks.Done()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-c.wake:
		}
		for c.settleOldest() {
		}
	}
}

// settleOldest tries to settle the oldest outcome. If no keeper answers, it waits for
// settleInterval and puts the outcome back at the end of the backlog. It returns false if the
// backlog is empty or the claimer is closed.
func (c *Claimer) settleOldest() bool {
	c.mutex.Lock()
	if len(c.backlog) == 0 {
		c.mutex.Unlock()
		return false
	}
	q := c.backlog[0]
	c.backlog = c.backlog[1:]
	c.settling = 1
	c.mutex.Unlock()
	ctx, cancel := context.WithTimeout(c.ctx, attemptTimeout)
	outcome := c.trySettle(ctx, q)
	cancel()
	if c.ctx.Err() != nil {
		return false
	}
	if outcome == encoder.SettleUnknown {
		c.wait(c.ctx, settleInterval)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.settling = 0
	if outcome == encoder.SettleUnknown {
		c.add(q)
	}
	return true
}
