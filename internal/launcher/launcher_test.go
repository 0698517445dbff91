package launcher

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"banyandock.example/banyandock/internal/timekeeper"

	"banyandock.example/banyandock/internal/settingsreader"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// freeAddress returns a loopback address with a port that is not in use.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	return netip.MustParseAddrPort(l.Addr().String())
}

// programRun is one run of a program with the given command line, settings and serve function.
type programRun struct {
	commandLine []string
	settings    settingsreader.Common
	readErr     error
	serve       func(ctx context.Context, p *Process) error
}

func (r programRun) run(t *testing.T) (code int, stdout, stderr string) {
	t.Helper()
	var out, err bytes.Buffer
	read := func(string) (settingsreader.Common, error) { return r.settings, r.readErr }
	serve := func(ctx context.Context, p *Process, _ settingsreader.Common) error { return r.serve(ctx, p) }
	code = runProgram("dock", r.commandLine, &out, &err, read, serve)
	return code, out.String(), err.String()
}

func TestCommandLine(t *testing.T) {
	code, stdout, stderr := programRun{commandLine: []string{"--help"}}.run(t)
	assert.Equal(t, code, ExitOK)
	assert.Assert(t, strings.Contains(stdout, "--settings") && stderr == "")
	code, stdout, _ = programRun{commandLine: []string{"--version"}}.run(t)
	assert.Equal(t, code, ExitOK)
	assert.Equal(t, stdout, "dock "+Version+"\n")
	code, stdout, stderr = programRun{}.run(t)
	assert.Equal(t, code, ExitUsage)
	assert.Assert(t, strings.Contains(stderr, "error: SETTINGS is required") && stdout == "", "%s%s", stderr, stdout)
	code, _, stderr = programRun{commandLine: []string{"--settings", "x", "--frob"}}.run(t)
	assert.Equal(t, code, ExitUsage)
	assert.Assert(t, strings.Contains(stderr, "--frob"))
	code, stdout, _ = programRun{commandLine: []string{"--settings", "x", "--check"}}.run(t)
	assert.Equal(t, code, ExitOK)
	assert.Equal(t, stdout, "x: ok\n")
}

func TestFaultySettingsOpenNoPort(t *testing.T) {
	code, stdout, stderr := programRun{commandLine: []string{"--settings", "x"}, readErr: errors.New("x:3: host: is missing")}.run(t)
	assert.Equal(t, code, ExitUsage)
	assert.Equal(t, stderr, "x:3: host: is missing\n")
	assert.Equal(t, stdout, "")
}

func TestFailuresAreReported(t *testing.T) {
	settings := settingsreader.Common{OperatorAddress: freeAddress(t)}
	code, log, _ := programRun{
		commandLine: []string{"--settings", "x"}, settings: settings,
		serve: func(context.Context, *Process) error { return errors.New("disk is gone") },
	}.run(t)
	assert.Equal(t, code, ExitFailure)
	assert.Assert(t, strings.Contains(log, "disk is gone"))
	l, err := net.Listen("tcp", settings.OperatorAddress.String())
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	code, log, _ = programRun{commandLine: []string{"--settings", "x"}, settings: settings}.run(t)
	assert.Equal(t, code, ExitFailure)
	assert.Assert(t, strings.Contains(log, "address already in use"))
}

// get fetches a page from the operator's server and returns its status and body.
func get(t *testing.T, p *Process, path string) (int, string) {
	t.Helper()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Get(fmt.Sprintf("http://%s%s", p.Settings.OperatorAddress, path))
	assert.NilError(t, err)
	defer func() { _ = r.Body.Close() }()
	body, err := io.ReadAll(r.Body)
	assert.NilError(t, err)
	return r.StatusCode, string(body)
}

// expectPage fetches a page and checks its status and that its text contains part.
func expectPage(t *testing.T, p *Process, path string, status int, part string) {
	t.Helper()
	gotStatus, body := get(t, p, path)
	assert.Equal(t, gotStatus, status, "%s: %s", path, body)
	assert.Assert(t, strings.Contains(body, part), "%s: %s", path, body)
}

func TestOperatorPages(t *testing.T) {
	code, log, stderr := programRun{
		commandLine: []string{"--settings", "x"},
		settings:    settingsreader.Common{Host: "plade-01", OperatorAddress: freeAddress(t)},
		serve: func(ctx context.Context, p *Process) error {
			expectPage(t, p, "/livez", http.StatusOK, `"host":"plade-01"`)
			expectPage(t, p, "/readyz", http.StatusServiceUnavailable, `"text":"starting"`)
			notFresh := errors.New("no majority of keepers answered for 4s")
			p.Operator.AddCheck("manifest", func() error { return notFresh })
			expectPage(t, p, "/readyz", http.StatusServiceUnavailable, notFresh.Error())
			notFresh = nil
			expectPage(t, p, "/readyz", http.StatusOK, `{"ready":true,"reasons":[]}`)
			p.Metrics.Counter("requests", "Requests of callers.").Inc(3)
			expectPage(t, p, "/metrics", http.StatusOK, "# requests (count): Requests of callers.\nrequests 3\n")
			expectPage(t, p, "/metrics?format=json", http.StatusOK, `{"name":"requests","unit":"count","meaning":"Requests of callers.","value":3}`)
			expectPage(t, p, "/events", http.StatusOK, "dock@plade-01 process_started version="+Version)
			expectPage(t, p, "/events?limit=x", http.StatusBadRequest, "limit must be a number")
			expectPage(t, p, "/frob", http.StatusNotFound, "not found")
			p.Invariants.Check(false, "test")
			expectPage(t, p, "/metrics", http.StatusOK, "invariants_failed 1\n")
			assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
			<-ctx.Done()
			expectPage(t, p, "/readyz", http.StatusServiceUnavailable, `"text":"stopping"`)
			return nil
		},
	}.run(t)
	assert.Equal(t, code, ExitOK, stderr)
	assert.Assert(t, strings.Contains(log, `"message":"stopped"`))
}

// TestLogLinesCarryMilliseconds checks that log lines have times in milliseconds, without which the
// lines of several hosts could not be put in order within a second.
func TestLogLinesCarryMilliseconds(t *testing.T) {
	var logs bytes.Buffer
	p := &Process{Program: "dock", Clock: timekeeper.System{}}
	log := newLog(p, &logs)
	log.Info().Msg("started")
	var line struct{ Time string }
	assert.NilError(t, json.Unmarshal(logs.Bytes(), &line))
	at, err := time.Parse(timeFormat, line.Time)
	assert.NilError(t, err, "%s", logs.String())
	assert.Assert(t, time.Since(at) < time.Minute)
}
