package main

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	signatureRequests = 1600
	// spoiledEvery is how many answers of a faulty server come to one that is spoilt.
	spoiledEvery = 50
	// spoiledStamp is the name of the header with the signature, with one wrong byte.
	spoiledStamp = "X-Banyandock-Response-Signatur~"
)

// runSignature sends requests that must not be repeated to a service of four servers. Two of them spoil
// one of fifty answers: a byte in the name of the header with the signature is wrong. No caller may get a
// success without the signature.
func runSignature(e *environment) (bool, error) {
	d, err := newDeployment(e, 2)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return false, err
	}
	if err := d.checkAddresses(); err != nil {
		return false, err
	}
	var spoilt atomic.Int64
	for i, isFaulty := range []bool{true, true, false, false} {
		id := fmt.Sprintf("i-%d", i+1)
		s, err := newServer(id, "single", domain(i), d.serverIP(i), d.controlAddresses(), e.record,
			func(c net.Conn, r *http.Request, _ []byte, run int64) bool {
				name := headerStamp
				if isFaulty && e.isTroubled && run%spoiledEvery == 0 {
					name = spoiledStamp
					spoilt.Add(1)
				}
				request := r.Header.Get(headerRequest)
				e.record.add("server %s runs %s, header %q", id, request, name)
				return reply(c, http.StatusOK, []string{headerRequest, request, name, fmt.Sprintf("%s.%d", id, run), headerLoad, "1,0,3"}, []byte("answer"))
			})
		if err != nil {
			return false, err
		}
		defer s.close()
	}
	if err := d.submit(singleConfiguration("non_idempotent")); err != nil {
		return false, err
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	served, unsigned := 0, 0
	for n := range signatureRequests {
		id := fmt.Sprintf("r%07d", n)
		r := ask(d.callerAddress(n%2), http.MethodPost, "/single/x", id, 4*time.Second, []byte("order"))
		e.record.add("caller gets for %s: %d, signature %q, body %q, error %v", id, r.status, r.header.Get(headerStamp), r.body, r.err)
		switch {
		case r.err != nil || r.status < 200 || r.status > 299:
		case r.header.Get(headerStamp) == "":
			unsigned++
		default:
			served++
		}
	}
	e.record.say("%d requests, %d answers spoilt, %d successes with a signature, %d successes without", signatureRequests, spoilt.Load(), served, unsigned)
	if served < signatureRequests/2 {
		return false, fmt.Errorf("only %d requests were served", served)
	}
	return unsigned > 0, nil
}

// singleConfiguration returns a configuration with one route to one service.
func singleConfiguration(kind string) string {
	return fmt.Sprintf(`{"version":7,"routes":[{"name":"r-single","host":%q,"pathPrefix":"/single/","type":%q,"timeoutMs":4000,"targetLatencyMs":250,"priority":2,"service":"single","maxAttempts":2}],`+
		`"services":[{"name":"single","healthCheckPath":"/health","maxConnections":214,"protocol":"h1","tls":false}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, callerHost, kind)
}
