package rpc_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
	"github.com/quetzallug/quetzallug/gen/quetzallug/v1/quetzallugv1connect"
	"github.com/quetzallug/quetzallug/internal/rpc"
)

type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  string
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign, NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return &authority{t: t, cert: cert, key: key, pem: encodePEM("CERTIFICATE", der)}
}

func encodePEM(kind string, der []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}))
}

// issue returns the TLS configuration of a process with a certificate of a. The process trusts
// certificates of the given authority.
func (a *authority) issue(trusted *authority) *tls.Config {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	require.NoError(a.t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(a.t, err)
	c, err := rpc.TLSFiles{Cert: encodePEM("CERTIFICATE", der), Key: encodePEM("EC PRIVATE KEY", keyDER), CA: trusted.pem}.Load()
	require.NoError(a.t, err)
	return c
}

type worker struct {
	quetzallugv1connect.UnimplementedWorkerServiceHandler
}

func (worker) Probe(context.Context, *connect.Request[v1.ProbeRequest]) (*connect.Response[v1.ProbeResponse], error) {
	return connect.NewResponse(&v1.ProbeResponse{ConfigRevision: 7}), nil
}

func serve(t *testing.T, c *tls.Config) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(quetzallugv1connect.NewWorkerServiceHandler(worker{}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	srv := rpc.NewServer(mux)
	go func() { _ = rpc.Serve(srv, l, c) }()
	t.Cleanup(func() { _ = srv.Close() })
	return l.Addr().String()
}

// Guards against accepting a peer without a certificate of the cluster's authority, and against a
// fallback to cleartext.
func TestPeersAuthenticateByCertificate(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	address := serve(t, ours.issue(ours))
	call := func(c *tls.Config) error {
		clients := rpc.NewClients(rpc.ClientConfig{TLS: c})
		defer clients.Close()
		_, err := clients.Worker(address).Probe(t.Context(), connect.NewRequest(&v1.ProbeRequest{}))
		return err
	}
	require.NoError(t, call(ours.issue(ours)))
	require.Error(t, call(theirs.issue(ours)), "certificate of another authority")
	require.Error(t, call(ours.issue(theirs)), "server of another authority")
	require.Error(t, call(nil), "cleartext")
}

// Guards against TLS being silently off because a setting is missing or invalid.
func TestIncompleteSettingsAreRefused(t *testing.T) {
	for _, f := range []rpc.TLSFiles{
		{Cert: "x"},
		{Cert: "x", Key: "y"},
		{Cert: "/nonexistent", Key: "/nonexistent", CA: "/nonexistent"},
		{Cert: "-----BEGIN", Key: "-----BEGIN", CA: "-----BEGIN"},
	} {
		_, err := f.Load()
		require.Error(t, err)
	}
	c, err := rpc.TLSFiles{}.Load()
	require.NoError(t, err)
	require.Nil(t, c)
}
