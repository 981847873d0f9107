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

// replicaCount is the number of replicas in a cluster.
const replicaCount = 3

// callTimeout is the time limit of one call, with the wait for an election included.
const callTimeout = 10 * time.Second

// cluster is a quorum of replicas and a client for it.
type cluster struct {
	folder string
	// syncEachRecord makes the replicas sync each record by itself instead of in groups.
	syncEachRecord bool
	addresses      []netip.AddrPort
	// running holds the replicas by index; a stopped one is nil.
	running [replicaCount]*replica
	control *rpc.ControlClient
	// peers counts the bytes between replicas, clients those between clients and replicas.
	peers   *rpc.Traffic
	clients *rpc.Traffic
}

// replica holds the parts of one running replica.
type replica struct {
	storage   *disk.Log
	transport *replicas.Transport
	shell     *shell.Shell
	server    *rpc.Server
}

// newCluster starts a cluster with its data below folder and waits until it answers a request
// for the state.
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

// freeAddress returns a loopback address whose port is free at the moment.
func freeAddress() (netip.AddrPort, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "find a free port")
	}
	defer ln.Close()
	return ln.Addr().(*net.TCPAddr).AddrPort(), nil
}

func replicaHost(i int) fleet.HostID { return fleet.HostID(fmt.Sprintf("control-%d", i)) }

// startReplica starts the replica with index i on its data, which may exist already.
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

// stopReplica stops the replica with index i; it has no effect on a stopped one.
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

// close stops the client and all replicas, and removes their data.
func (c *cluster) close() error {
	c.control.Stop()
	for i := range replicaCount {
		if err := c.stopReplica(i); err != nil {
			return err
		}
	}
	return errors.Wrap(os.RemoveAll(c.folder), "remove data of the cluster")
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

// leaderIndex returns the index of the leader, or -1 if no replica reports that it is.
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

// bytesOnDisk returns the size of the log of the replica with index i, in bytes.
func (c *cluster) bytesOnDisk(i int) (int64, error) {
	info, err := os.Stat(filepath.Join(c.folder, string(replicaHost(i)), "replica.log"))
	if err != nil {
		return 0, errors.Wrap(err, "read size of the replica log")
	}
	return info.Size(), nil
}
