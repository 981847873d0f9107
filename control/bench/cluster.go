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
const replicaCount = 3

// callTimeout bounds one call, elections included.
const callTimeout = 10 * time.Second

// group is a quorum with one client.
type cluster struct {
	folder         string
	syncEachRecord bool
	addresses      []netip.AddrPort
	running        [replicaCount]*replica
	control        *rpc.ControlClient
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
func newCluster(folder string, syncEachRecord bool) (*cluster, error) {
	c := &cluster{folder: folder, syncEachRecord: syncEachRecord, peers: &rpc.Traffic{}, clients: &rpc.Traffic{}}
	for range replicaCount {
		addr, err := freeAddress()
		if err != nil {
			return nil, err
		}
		c.addresses = append(c.addresses, addr)
	}
	for i := range replicaCount {
		if err := c.startReplica(i); err != nil {
			return nil, err
		}
	}
	c.control = rpc.NewControlClient(rpc.ControlClientConfig{Replicas: c.addresses, Traffic: c.clients})
	c.control.Start()
	_, err := c.fetchState(fleet.StateRequest{Host: "bench", Role: fleet.RoleOperator})
	return c, err
}

func freeAddress() (netip.AddrPort, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "find a free port")
	}
	defer ln.Close()
	return ln.Addr().(*net.TCPAddr).AddrPort(), nil
}

func replicaHost(i int) fleet.HostID { return fleet.HostID(fmt.Sprintf("control-%d", i)) }

func (c *cluster) startReplica(i int) error {
	storage, err := disk.Open(filepath.Join(c.folder, string(replicaHost(i))))
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	peers := map[fleet.HostID]netip.AddrPort{}
	var hosts []fleet.HostID
	for j, addr := range c.addresses {
		hosts = append(hosts, replicaHost(j))
		if j != i {
			peers[replicaHost(j)] = addr
		}
	}
	transport := replicas.NewFixed(peers, c.peers)
	s, err := shell.New(shell.Config{
		Quorum: quorum.Config{
			Host: replicaHost(i), Incarnation: fleet.Incarnation(time.Now().UnixNano()), Hosts: hosts, Bootstrap: true,
		},
		Storage: storage, Sender: transport, Clock: fleet.SystemClock{}, Log: log,
		SyncEachRecord: c.syncEachRecord, OnStorageFailure: func(error) {},
	})
	if err != nil {
		return err
	}
	server := rpc.NewServer(rpc.ServerConfig{Address: c.addresses[i], Handler: &clients.Handler{Replica: s}, Log: log})
	c.running[i] = &replica{storage: storage, transport: transport, shell: s, server: server}
	transport.Start()
	s.Start()
	return server.Start()
}

// stop ends one replica.
func (c *cluster) stopReplica(i int) error {
	r := c.running[i]
	if r == nil {
		return nil
	}
	c.running[i] = nil
	r.server.Stop()
	r.shell.Stop()
	r.transport.Stop()
	return r.storage.Close()
}

// close ends everything.
func (c *cluster) close() error {
	c.control.Stop()
	for i := range replicaCount {
		if err := c.stopReplica(i); err != nil {
			return err
		}
	}
	return errors.Wrap(os.RemoveAll(c.folder), "remove data")
}

func (c *cluster) call(method string, params, reply any) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return c.control.Call(ctx, method, params, reply)
}

func (c *cluster) fetchState(request fleet.StateRequest) (fleet.StateReply, error) {
	var reply fleet.StateReply
	err := c.call(fleet.MethodState, request, &reply)
	return reply, err
}

// leader returns the number of the replica that leads, or -1.
func (c *cluster) leaderIndex() int {
	for i := range replicaCount {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		var status fleet.StatusReply
		err := c.control.Replica(i).Call(ctx, fleet.MethodStatus, fleet.StatusRequest{}, &status)
		cancel()
		if err == nil && status.Standing == string(quorum.Leader) {
			return i
		}
	}
	return -1
}

// bytesOnDisk returns the size of the data of one replica.
func (c *cluster) bytesOnDisk(i int) (int64, error) {
	info, err := os.Stat(filepath.Join(c.folder, string(replicaHost(i)), "replica.log"))
	if err != nil {
		return 0, errors.Wrap(err, "size of the replica log")
	}
	return info.Size(), nil
}
