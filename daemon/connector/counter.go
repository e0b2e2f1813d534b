package connector

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
)

// newBytesCounter returns the counter of the encoded bytes of messages to and from
// other daemons, by call and direction. It excludes the few bytes of framing that
// the transport adds to each message.
func newBytesCounter(registerer prometheus.Registerer) (bytes *prometheus.CounterVec) {
	bytes = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "yuccaspread_peer_bytes_total", Help: "Bytes of messages to and from other daemons, on connections from here.",
	}, []string{"call", "direction"})
	if registerer != nil {
		registerer.MustRegister(bytes)
	}
	return bytes
}

// newSeveredCounter returns the counter of connections to other daemons that were closed
// because nothing came on them. daemon tells what is known of the other end.
func newSeveredCounter(registerer prometheus.Registerer) (severed *prometheus.CounterVec) {
	severed = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "yuccaspread_peer_connections_severed_total", Help: "Connections for single calls to other daemons that were closed because nothing came on them.",
	}, []string{"daemon"})
	if registerer != nil {
		registerer.MustRegister(severed)
	}
	return severed
}

// countedConn is a connection that counts the bytes of its messages.
type countedConn struct {
	*drpcconn.Conn

	bytes *prometheus.CounterVec
}

// Invoke implements drpc.Conn.
func (c countedConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	return c.Conn.Invoke(ctx, rpc, c.countEncoding(rpc, enc), in, out)
}

// NewStream implements drpc.Conn. The stream is wrapped because the generated code
// passes the encoding of each message to the stream's MsgSend and MsgRecv.
func (c countedConn) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	stream, err := c.Conn.NewStream(ctx, rpc, enc)
	if err != nil {
		return nil, err
	}
	return countedStream{Stream: stream, conn: c, rpc: rpc}, nil
}

func (c countedConn) countEncoding(rpc string, enc drpc.Encoding) countedEncoding {
	return countedEncoding{
		Encoding: enc, sent: c.bytes.WithLabelValues(rpc, "sent"), received: c.bytes.WithLabelValues(rpc, "received"),
	}
}

type countedStream struct {
	drpc.Stream

	conn countedConn
	rpc  string
}

// MsgSend implements drpc.Stream.
func (s countedStream) MsgSend(msg drpc.Message, enc drpc.Encoding) error {
	return s.Stream.MsgSend(msg, s.conn.countEncoding(s.rpc, enc))
}

// MsgRecv implements drpc.Stream.
func (s countedStream) MsgRecv(msg drpc.Message, enc drpc.Encoding) error {
	return s.Stream.MsgRecv(msg, s.conn.countEncoding(s.rpc, enc))
}

type countedEncoding struct {
	drpc.Encoding

	sent, received prometheus.Counter
}

// Marshal implements drpc.Encoding.
func (e countedEncoding) Marshal(msg drpc.Message) (raw []byte, err error) {
	raw, err = e.Encoding.Marshal(msg)
	e.sent.Add(float64(len(raw)))
	return raw, err
}

// Unmarshal implements drpc.Encoding.
func (e countedEncoding) Unmarshal(raw []byte, msg drpc.Message) error {
	e.received.Add(float64(len(raw)))
	return e.Encoding.Unmarshal(raw, msg)
}
