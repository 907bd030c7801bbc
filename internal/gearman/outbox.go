package gearman

import (
	"errors"
	"sync"

	"cottonwell/internal/buffer"
)

// Bounds of an outbox.
const (
	// A connection is not read while this many packets or bytes wait, so that what it sends cannot fill its outbox. What is sent
	// in the meantime is the responses to jobs that were read before.
	readPausePackets = 256
	readPauseBytes   = 256 << 10
	// maxWaitingJobs is the number of jobs without a final packet for which a connection waits, beyond which it is not read. So a
	// client that submits many has no more of them among the jobs that wait for a worker.
	maxWaitingJobs = 160
	// manyJobs is the number of open jobs of a connection, background jobs included, beyond which further ones come after those
	// of other clients.
	manyJobs = 16
	// maxOutboxBytes is the most that may wait on a connection. The connection is closed beyond it.
	maxOutboxBytes = 32 << 20
	// packetOverhead and jobOverhead are added to the bytes of each packet and job.
	packetOverhead = 64
	jobOverhead    = 2 << 10
	// smallWorkloads is the most in bytes that a connection's jobs may hold of the room that is kept for small holders: one job
	// whose workload fits into one buffer.
	smallWorkloads = buffer.Size + jobOverhead
)

// errOutboxClosed is the end of a connection whose packets are not written any more.
var errOutboxClosed = errors.New("connection is no longer written")

// outgoing is a packet in the outbox.
type outgoing struct {
	data       []byte
	onWritten  func() // called after the last byte was written; may be nil
	closeAfter bool   // the writer stops after this packet
}

// memoryBudget limits what waits on all connections together: packets that are not written yet, and the workloads of jobs that
// have not ended. Each may hold half of the limit. When the packets reach theirs, the connection with most of them is closed.
// When workloads reach theirs, further jobs are refused, first on connections that hold much. Packets that are being read may hold
// a quarter beside that; further ones are rejected.
type memoryBudget struct {
	mu        sync.Mutex // guards the outboxes, too
	limit     int        // bytes for packets, and as many for workloads
	packets   int        // bytes in use
	reading   int        // bytes of packets that are being read; may be half of limit
	workloads int
	holders   map[*outbox]bool // the open outboxes
}

// newMemoryBudget returns a budget of so many bytes in all.
func newMemoryBudget(limit int) *memoryBudget {
	return &memoryBudget{limit: limit / 2, holders: map[*outbox]bool{}}
}

// chargePackets takes n bytes for packets of a holder. At the limit it closes the connection with most packets, and reports false
// if that is the holder itself. The caller must hold mu.
func (m *memoryBudget) chargePackets(holder *outbox, n int) bool {
	for m.packets+n > m.limit {
		worst, most := holder, holder.packetBytes+n
		for other := range m.holders {
			if other.packetBytes > most {
				worst, most = other, other.packetBytes
			}
		}
		if worst == holder {
			return false
		}
		worst.closeLocked()
		worst.evict()
	}
	m.packets += n
	return true
}

// chargeWorkload takes n bytes for a job of a holder. A connection may hold a quarter of the limit. The last eighth is for
// connections that hold little, so that they find room however much others hold. The caller must hold mu.
func (m *memoryBudget) chargeWorkload(holder *outbox, n int) bool {
	most, inUse := m.limit/4, m.limit*7/8
	if held := holder.workloadBytes + n; held > most || m.workloads+n > m.limit || m.workloads+n > inUse && held > smallWorkloads {
		return false
	}
	m.workloads += n
	return true
}

// outbox is the queue of the packets to write on a connection. Any goroutine puts packets in without blocking, one takes them
// out, and the connection's reader waits until there is room. It also counts what the connection's jobs hold.
type outbox struct {
	budget        *memoryBudget
	evict         func()    // ends the connection; must not block
	changed       sync.Cond // a packet was put in or taken out, or the outbox was closed
	packets       []outgoing
	packetBytes   int
	workloadBytes int
	openJobs      int
	readBytes     int  // of the packet that is being read
	waitingJobs   int  // jobs for whose final packet the connection waits
	writing       bool // the last packet that was taken may not be written yet
	closed        bool
}

// newOutbox returns the outbox of a connection.
func newOutbox(budget *memoryBudget, evict func()) *outbox {
	b := &outbox{budget: budget, evict: evict}
	b.changed.L = &budget.mu
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.holders[b] = true
	return b
}

func (p *outgoing) size() int { return len(p.data) + packetOverhead }

// put adds a packet. It reports false, and drops the packet, if the outbox is closed or full.
func (b *outbox) put(p outgoing) bool {
	b.budget.mu.Lock()
	defer b.budget.mu.Unlock()
	if b.closed || b.packetBytes+p.size() > maxOutboxBytes || !b.budget.chargePackets(b, p.size()) {
		return false
	}
	b.packets = append(b.packets, p)
	b.packetBytes += p.size()
	b.changed.Broadcast()
	return true
}

// take waits for the next packet. It reports false once the outbox is closed.
func (b *outbox) take() (p outgoing, ok bool) {
	b.budget.mu.Lock()
	defer b.budget.mu.Unlock()
	b.writing = false
	for len(b.packets) == 0 && !b.closed {
		b.changed.Wait()
	}
	if b.closed {
		return outgoing{}, false
	}
	b.writing = true
	p = b.packets[0]
	b.packets[0] = outgoing{}
	b.packets = b.packets[1:]
	b.packetBytes -= p.size()
	b.budget.packets -= p.size()
	b.changed.Broadcast()
	return p, true
}

// addWaitingJobs changes the number of jobs for whose final packet the connection waits.
func (b *outbox) addWaitingJobs(change int) {
	b.budget.mu.Lock()
	defer b.budget.mu.Unlock()
	b.waitingJobs += change
	b.changed.Broadcast()
}

// hasManyJobs reports whether the connection has so many open jobs that those of others come first.
func (b *outbox) hasManyJobs() bool {
	b.budget.mu.Lock()
	defer b.budget.mu.Unlock()
	return b.openJobs > manyJobs
}

// hasRoom reports whether so few packets and jobs wait that the connection may be read.
func (b *outbox) hasRoom() bool {
	b.budget.mu.Lock()
	defer b.budget.mu.Unlock()
	return !b.closed && b.hasRoomLocked()
}

func (b *outbox) hasRoomLocked() bool {
	return len(b.packets) < readPausePackets && b.packetBytes < readPauseBytes && b.waitingJobs < maxWaitingJobs
}

// waitForRoom waits until so few packets and jobs wait that the connection may be read. It returns errOutboxClosed once the outbox is
// closed.
func (b *outbox) waitForRoom() error {
	b.budget.mu.Lock()
	defer b.budget.mu.Unlock()
	for !b.closed && !b.hasRoomLocked() {
		b.changed.Wait()
	}
	if b.closed {
		return errOutboxClosed
	}
	return nil
}

// chargeRead takes the memory of a packet with so many bytes that is about to be read. It reports false if packets hold as much
// as they may. A packet that fits the buffer of its connection always finds room. releaseRead returns the memory.
func (b *outbox) chargeRead(bytes int) bool {
	if bytes <= buffer.Size {
		return true
	}
	b.budget.mu.Lock()
	defer b.budget.mu.Unlock()
	if b.budget.reading+bytes > b.budget.limit/2 {
		return false
	}
	b.budget.reading += bytes
	b.readBytes = bytes
	return true
}

func (b *outbox) releaseRead() {
	b.budget.mu.Lock()
	defer b.budget.mu.Unlock()
	b.budget.reading -= b.readBytes
	b.readBytes = 0
}

// idle reports whether nothing is left to write and the connection waits for no job.
func (b *outbox) idle() bool {
	b.budget.mu.Lock()
	defer b.budget.mu.Unlock()
	return !b.closed && len(b.packets) == 0 && !b.writing && b.waitingJobs == 0
}

// written reports whether all packets are written, or never will be.
func (b *outbox) written() bool {
	b.budget.mu.Lock()
	defer b.budget.mu.Unlock()
	return b.closed || len(b.packets) == 0 && !b.writing
}

// close drops the packets that wait and ends all waits.
func (b *outbox) close() {
	b.budget.mu.Lock()
	defer b.budget.mu.Unlock()
	b.closeLocked()
}

func (b *outbox) closeLocked() {
	b.budget.packets -= b.packetBytes
	b.closed, b.packets, b.packetBytes = true, nil, 0
	delete(b.budget.holders, b)
	b.changed.Broadcast()
}

// chargeWorkload takes the memory of a job with a workload of n bytes. It reports false if the connection holds too much
// already. releaseWorkload returns the memory.
func (b *outbox) chargeWorkload(n int) bool {
	b.budget.mu.Lock()
	defer b.budget.mu.Unlock()
	if b.closed || !b.budget.chargeWorkload(b, jobMemory(n)) {
		return false
	}
	b.workloadBytes += jobMemory(n)
	b.openJobs++
	return true
}

func (b *outbox) releaseWorkload(n int) {
	b.budget.mu.Lock()
	defer b.budget.mu.Unlock()
	b.workloadBytes -= jobMemory(n)
	b.openJobs--
	b.budget.workloads -= jobMemory(n)
}

// jobMemory returns the memory in bytes of a job with a workload of n bytes, which is stored in whole buffers.
func jobMemory(n int) int { return (n/buffer.Size+1)*buffer.Size + jobOverhead }
