// Package bench measures control replicas that run in one process, each with its own
// folder on disk and connected over loopback.
package bench

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/quorum"
	"github.com/fuchsiashed/fuchsiashed/fleet/rpc"

	"github.com/fuchsiashed/fuchsiashed/control/clients"
	"github.com/fuchsiashed/fuchsiashed/control/disk"
	"github.com/fuchsiashed/fuchsiashed/control/replicas"
	"github.com/fuchsiashed/fuchsiashed/control/shell"
)

// size is the number of replicas.
const size = 3

// callTimeout bounds one call, elections included.
const callTimeout = 10 * time.Second

// group is a quorum with one client.
type group struct {
	folder    string
	each      bool
	addresses []netip.AddrPort
	running   [size]*replica
	control   *rpc.ControlClient
	// peers counts the bytes between replicas, clients those of all other processes.
	peers   *rpc.Traffic
	clients *rpc.Traffic
}

// replica is one running replica.
type replica struct {
	storage   *disk.Log
	transport *replicas.Transport
	shell     *shell.Shell
	server    *rpc.Server
}

// newGroup starts replicas with their data below folder; each says whether every record
// is synced by itself.
func newGroup(folder string, each bool) (*group, error) {
	g := &group{folder: folder, each: each, peers: &rpc.Traffic{}, clients: &rpc.Traffic{}}
	for range size {
		addr, err := freeAddress()
		if err != nil {
			return nil, err
		}
		g.addresses = append(g.addresses, addr)
	}
	for i := range size {
		if err := g.start(i); err != nil {
			return nil, err
		}
	}
	g.control = rpc.NewControlClient(rpc.ControlClientConfig{Replicas: g.addresses, Traffic: g.clients})
	g.control.Start()
	_, err := g.state(fleet.StateRequest{Host: "bench", Role: fleet.RoleOperator})
	return g, err
}

func freeAddress() (netip.AddrPort, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "find a free port")
	}
	defer ln.Close()
	return ln.Addr().(*net.TCPAddr).AddrPort(), nil
}

func hostOf(i int) fleet.HostID { return fleet.HostID(fmt.Sprintf("control-%d", i)) }

func (g *group) start(i int) error {
	storage, err := disk.Open(filepath.Join(g.folder, string(hostOf(i))))
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	others := map[fleet.HostID]netip.AddrPort{}
	var hosts []fleet.HostID
	for j, addr := range g.addresses {
		hosts = append(hosts, hostOf(j))
		if j != i {
			others[hostOf(j)] = addr
		}
	}
	transport := replicas.NewFixed(others, g.peers)
	s, err := shell.New(shell.Config{
		Quorum: quorum.Config{
			Host: hostOf(i), Incarnation: fleet.Incarnation(time.Now().UnixNano()), Hosts: hosts, Bootstrap: true,
		},
		Storage: storage, Sender: transport, Clock: fleet.SystemClock{}, Log: log,
		SyncEachRecord: g.each, OnStorageFailure: func(error) {},
	})
	if err != nil {
		return err
	}
	server := rpc.NewServer(rpc.ServerConfig{Address: g.addresses[i], Handler: &clients.Handler{Replica: s}, Log: log})
	g.running[i] = &replica{storage: storage, transport: transport, shell: s, server: server}
	transport.Start()
	s.Start()
	return server.Start()
}

// stop ends one replica.
func (g *group) stop(i int) error {
	r := g.running[i]
	if r == nil {
		return nil
	}
	g.running[i] = nil
	r.server.Stop()
	r.shell.Stop()
	r.transport.Stop()
	return r.storage.Close()
}

// close ends everything.
func (g *group) close() error {
	g.control.Stop()
	for i := range size {
		if err := g.stop(i); err != nil {
			return err
		}
	}
	return errors.Wrap(os.RemoveAll(g.folder), "remove data")
}

func (g *group) call(method string, params, reply any) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return g.control.Call(ctx, method, params, reply)
}

func (g *group) state(r fleet.StateRequest) (fleet.StateReply, error) {
	var s fleet.StateReply
	err := g.call(fleet.MethodState, r, &s)
	return s, err
}

// leader returns the number of the replica that leads, or -1.
func (g *group) leader() int {
	for i := range size {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		var s fleet.StatusReply
		err := g.control.Replica(i).Call(ctx, fleet.MethodStatus, fleet.StatusRequest{}, &s)
		cancel()
		if err == nil && s.Standing == string(quorum.Leader) {
			return i
		}
	}
	return -1
}

// bytesOnDisk returns the size of the data of one replica.
func (g *group) bytesOnDisk(i int) (int64, error) {
	info, err := os.Stat(filepath.Join(g.folder, string(hostOf(i)), "replica.log"))
	if err != nil {
		return 0, errors.Wrap(err, "size of the replica log")
	}
	return info.Size(), nil
}
