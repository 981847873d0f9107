package harness

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

// Cut holds up the bytes between one control process and the other control processes, as a
// partition does: nothing is lost or reset, and all of it arrives once the cut has healed.
type Cut struct {
	fleet *Fleet
	mu    sync.Mutex
	// victim is the host ID of the process that is cut off; empty for none.
	victim string
	healed chan struct{}
}

// NewCut starts proxies before all ports of the control processes.
func (f *Fleet) NewCut(controls int) (*Cut, error) {
	c := &Cut{fleet: f, healed: make(chan struct{})}
	for i := range controls {
		public, bind := f.Address(1+i), f.Address(101+i)
		for _, port := range []int{internalPort, controlPort, directoryPort} {
			ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", public, port))
			if err != nil {
				return nil, err
			}
			server := ""
			if port == internalPort {
				server = fmt.Sprintf("%s:%d", public, port)
			}
			go c.accept(ln, fmt.Sprintf("%s:%d", bind, port), server)
			f.Go(func(ctx context.Context) {
				<-ctx.Done()
				ln.Close()
			})
		}
	}
	return c, nil
}

// Begin cuts a control process off from the others until Heal.
func (c *Cut) Begin(victim *Process) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.victim = victim.Internal()
	c.healed = make(chan struct{})
	c.fleet.Logf("cut: %s is partitioned from the other control processes", victim.Name)
}

// Heal ends the cut.
func (c *Cut) Heal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.victim = ""
	close(c.healed)
	c.fleet.Logf("cut: healed")
}

// link is one proxied connection. client is the host ID of the control process that opened it, once
// its request to join the feed has passed; server that of the one to which it leads.
type link struct {
	cut     *Cut
	server  string
	mu      sync.Mutex
	client  string
	seen    []byte
	isKnown bool
}

// sniff finds out by the first bytes of a connection which control process opened it.
func (l *link) sniff(b []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isKnown || len(l.seen) > 1<<14 {
		return
	}
	l.seen = append(l.seen, b...)
	at := bytes.Index(l.seen, []byte(`"Feed.Join"`))
	if at < 0 {
		return
	}
	end := bytes.IndexByte(l.seen[at:], '\n')
	begin := bytes.LastIndexByte(l.seen[:at], '\n') + 1
	if end < 0 {
		return
	}
	line := l.seen[begin : at+end]
	l.isKnown = true
	if bytes.Contains(line, []byte(`"Role":"Control"`)) {
		if i := bytes.Index(line, []byte(`"Host":"`)); i >= 0 {
			rest := line[i+len(`"Host":"`):]
			l.client = string(rest[:bytes.IndexByte(rest, '"')])
		}
	}
}

// wait blocks while the link is cut.
func (l *link) wait() {
	for {
		l.mu.Lock()
		client, known := l.client, l.isKnown
		l.mu.Unlock()
		l.cut.mu.Lock()
		v, healed := l.cut.victim, l.cut.healed
		l.cut.mu.Unlock()
		if v == "" || l.server == "" {
			return
		}
		// A new connection that has not said yet who opens it may be one of the victim's.
		isCut := client == v || client != "" && l.server == v || !known
		if !isCut {
			return
		}
		<-healed
	}
}

func (c *Cut) accept(ln net.Listener, to, server string) {
	for {
		in, err := ln.Accept()
		if err != nil {
			return
		}
		go c.serve(in, to, server)
	}
}

func (c *Cut) serve(in net.Conn, to, server string) {
	out, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		if tcp, ok := in.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		in.Close()
		return
	}
	l := &link{cut: c, server: server}
	var wg sync.WaitGroup
	wg.Go(func() { l.pipe(out, in, true) })
	wg.Go(func() { l.pipe(in, out, false) })
	wg.Wait()
	in.Close()
	out.Close()
}

// pipe copies one direction. While the link is cut it reads no further, so that the bytes stay where
// they are.
func (l *link) pipe(to, from net.Conn, fromClient bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if fromClient {
				l.sniff(buf[:n])
			}
			l.wait()
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			l.wait()
			break
		}
	}
	if tcp, ok := to.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}
