package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// errNoAck reports that no keeper acknowledged an order in time.
var errNoAck = errors.New("no keeper acknowledged the order")

// newClient returns an HTTP client that opens a connection for each call.
func newClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

// call makes a call and returns the status and the body. The status is 0 if there is no complete
// response.
func (d *deployment) call(method, url, body string) (int, string) {
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := d.client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(text)
}

// putConfiguration sends a configuration to the hosts in turn until one acknowledges it.
func (d *deployment) putConfiguration(text string, hosts []int) error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, host := range hosts {
			status, _ := d.call(http.MethodPut, "http://"+d.address(host, portControl)+"/api/config", text)
			if status == http.StatusOK {
				d.records.add("configuration acknowledged by host %d: %s", host, text)
				return nil
			}
		}
	}
	return errNoAck
}

// readConfiguration reads the configuration at a host. It returns false without a 200.
func (d *deployment) readConfiguration(host int) (text string, status int, ok bool) {
	status, text = d.call(http.MethodGet, "http://"+d.address(host, portControl)+"/api/config", "")
	return text, status, status == http.StatusOK
}

// leader returns the keeper among hosts that leads, by its metrics.
func (d *deployment) leader(hosts []int) (int, bool) {
	for _, host := range hosts {
		_, page := d.call(http.MethodGet, "http://"+d.address(host, portOperator)+"/metrics", "")
		if strings.Contains(page, "\nkeeper.is_leader 1\n") {
			return host, true
		}
	}
	return 0, false
}

// describeKeepers records what the metrics of keepers say of the group.
func (d *deployment) describeKeepers(hosts []int) {
	for _, host := range hosts {
		_, page := d.call(http.MethodGet, "http://"+d.address(host, portOperator)+"/metrics", "")
		figures := []string{}
		for _, line := range strings.Split(page, "\n") {
			for _, name := range []string{"keeper.is_voter ", "keeper.is_leader ", "keeper.voters ", "keeper.learners ", "keeper.term "} {
				if strings.HasPrefix(line, name) {
					figures = append(figures, line)
				}
			}
		}
		d.records.add("host %d: %s", host, strings.Join(figures, ", "))
	}
}

// configuration returns a configuration with one route to each service. The routes of the first list are
// idempotent, those of the second are not.
func configuration(version int, idempotent, once []string) string {
	routes, services := []string{}, []string{}
	for i, s := range append(append([]string{}, idempotent...), once...) {
		kind := "idempotent"
		if i >= len(idempotent) {
			kind = "non_idempotent"
		}
		routes = append(routes, fmt.Sprintf(`{"name":"r-%s","host":"a.example","pathPrefix":"/%s/","type":"%s","timeoutMs":4000,"targetLatencyMs":250,"priority":1,"service":"%s","maxAttempts":2}`, s, s, kind, s))
		services = append(services, fmt.Sprintf(`{"name":"%s","healthCheckPath":"/health","maxConnections":56,"protocol":"h1","tls":false}`, s))
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`,
		version, strings.Join(routes, ","), strings.Join(services, ","))
}
