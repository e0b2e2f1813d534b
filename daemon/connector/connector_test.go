package connector

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"yuccaspread/common/wire"
)

// echoServer answers a packet with the same packet and counts the calls.
type echoServer struct {
	wire.DRPCGossipServer
	calls atomic.Int64
}

func (e *echoServer) Exchange(_ context.Context, packet *wire.GossipPacket) (*wire.GossipPacket, error) {
	e.calls.Add(1)
	return packet, nil
}

// newCertificate returns a self-signed certificate and a pool that trusts only it.
func newCertificate(t *testing.T) (cert tls.Certificate, pool *x509.CertPool) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "daemon"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := x509.ParseCertificate(raw)
	if err != nil {
		t.Fatal(err)
	}
	pool = x509.NewCertPool()
	pool.AddCert(parsed)
	return tls.Certificate{Certificate: [][]byte{raw}, PrivateKey: key}, pool
}

// startServer runs a daemon's server that accepts only clients whose certificates
// the pool trusts.
func startServer(t *testing.T, cert tls.Certificate, pool *x509.CertPool) (address string, server *echoServer) {
	config := &tls.Config{Certificates: []tls.Certificate{cert}, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool}
	socket, err := tls.Listen("tcp", "127.0.0.1:0", config)
	if err != nil {
		t.Fatal(err)
	}
	mux := drpcmux.New()
	server = &echoServer{}
	if err = wire.DRPCRegisterGossip(mux, server); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- drpcserver.New(mux).Serve(ctx, socket) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return socket.Addr().String(), server
}

// exchangeOnCall makes one call on a connection from Connector.PooledConn.
func exchangeOnCall(ctx context.Context, c *Connector, address string) (err error) {
	conn := c.PooledConn(ctx, address)
	defer func() { _ = conn.Close() }()
	_, err = wire.NewDRPCGossipClient(conn).Exchange(ctx, &wire.GossipPacket{})
	return err
}

// exchangeOnStream makes one call on a connection from Connector.NewConn.
func exchangeOnStream(ctx context.Context, c *Connector, address string) (err error) {
	conn, err := c.NewConn(ctx, address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_, err = wire.NewDRPCGossipClient(conn).Exchange(ctx, &wire.GossipPacket{})
	return err
}

// TestConnectionNeedsTrustedCertificates guards against a connection between daemons
// whose certificates the other side does not trust, or without TLS, on both kinds of
// connection.
func TestConnectionNeedsTrustedCertificates(t *testing.T) {
	cert, pool := newCertificate(t)
	otherCert, otherPool := newCertificate(t)
	address, server := startServer(t, cert, pool)
	for name, c := range map[string]struct {
		config *tls.Config
		// served is the number of calls that reach the server.
		served int64
	}{
		"right":             {served: 1, config: &tls.Config{RootCAs: pool, Certificates: []tls.Certificate{cert}}},
		"no certificate":    {config: &tls.Config{RootCAs: pool}},
		"wrong certificate": {config: &tls.Config{RootCAs: pool, Certificates: []tls.Certificate{otherCert}}},
		"wrong server":      {config: &tls.Config{RootCAs: otherPool, Certificates: []tls.Certificate{cert}}},
		"without TLS":       {},
	} {
		var config func() *tls.Config
		if c.config != nil {
			config = func() *tls.Config { return c.config }
		}
		for kind, exchange := range map[string]func(context.Context, *Connector, string) error{"call": exchangeOnCall, "stream": exchangeOnStream} {
			connector := New(config, nil)
			err := exchange(t.Context(), connector, address)
			if served := server.calls.Swap(0); (err == nil) != (c.served > 0) || served != c.served {
				t.Errorf("%s, %s: %v, %d calls served, want %d", name, kind, err, served, c.served)
			}
			_ = connector.Close()
		}
	}
}

// TestMessageBytesAreCounted guards against messages that are missing in the byte
// counter or counted twice.
func TestMessageBytesAreCounted(t *testing.T) {
	cert, pool := newCertificate(t)
	address, _ := startServer(t, cert, pool)
	connector := New(func() *tls.Config {
		return &tls.Config{RootCAs: pool, Certificates: []tls.Certificate{cert}}
	}, nil)
	defer func() { _ = connector.Close() }()
	conn := connector.PooledConn(t.Context(), address)
	defer func() { _ = conn.Close() }()
	packet := &wire.GossipPacket{Sender: &wire.GossipMember{Name: "somebody"}}
	if _, err := wire.NewDRPCGossipClient(conn).Exchange(t.Context(), packet); err != nil {
		t.Fatal(err)
	}
	const exchange = "/yuccaspread.wire.Gossip/Exchange"
	sent := testutil.ToFloat64(connector.bytes.WithLabelValues(exchange, "sent"))
	received := testutil.ToFloat64(connector.bytes.WithLabelValues(exchange, "received"))
	if want := float64(proto.Size(packet)); sent != want || received != want {
		t.Errorf("%v bytes sent, %v received, want %v", sent, received, want)
	}
}
