// Package link connects the processes of a deployment by DRPC over TCP. A mutual
// challenge-response handshake proves that both sides hold the deployment's
// secret. The handshake does not encrypt the connection.
package link

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	nonceBytes       = 32
	handshakeTimeout = 3 * time.Second
)

// clientHandshake verifies the proof of the server and sends the proof of the
// client. The server proves first.
func clientHandshake(conn net.Conn, secret []byte) error {
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return err
	}
	if _, err := conn.Write(nonce); err != nil {
		return err
	}
	response := make([]byte, nonceBytes+sha256.Size)
	if _, err := io.ReadFull(conn, response); err != nil {
		return err
	}
	peerNonce := response[:nonceBytes]
	if !hmac.Equal(response[nonceBytes:], proof(secret, "server", nonce, peerNonce)) {
		return rollout.NewError(rollout.KindForbidden, "%s failed to prove that it holds the secret", conn.RemoteAddr())
	}
	_, err := conn.Write(proof(secret, "client", nonce, peerNonce))
	return err
}

// serverHandshake sends the proof of the server and verifies the proof of the
// client. It sets and clears the deadline of the connection.
func serverHandshake(conn net.Conn, secret []byte) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return err
	}
	peerNonce := make([]byte, nonceBytes)
	if _, err := io.ReadFull(conn, peerNonce); err != nil {
		return err
	}
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return err
	}
	if _, err := conn.Write(append(nonce, proof(secret, "server", peerNonce, nonce)...)); err != nil {
		return err
	}
	response := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, response); err != nil {
		return err
	}
	if !hmac.Equal(response, proof(secret, "client", peerNonce, nonce)) {
		return rollout.NewError(rollout.KindForbidden, "%s failed to prove that it holds the secret", conn.RemoteAddr())
	}
	return conn.SetDeadline(time.Time{})
}

// proof returns the HMAC of both nonces. The side is included so that a proof cannot
// be reflected to its sender.
func proof(secret []byte, side string, client, server []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(side))
	mac.Write(client)
	mac.Write(server)
	return mac.Sum(nil)
}
