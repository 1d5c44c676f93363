package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding/platform/simulator"
)

// tenantConfig is testConfig with workspaces; the first key of "beta" is a parameter.
var tenantConfig = strings.Replace(strings.Replace(testConfig, `"services"`, `"tenants":{
 "alpha":{"apiKeys":["key-alpha"],"priority":1},
 "beta":{"apiKeys":["%s","key-beta-2"],"priority":1,"ratePerS":3,"burst":3},
 "gamma":{"apiKeys":["key-gamma"],"priority":1,"allowedRegions":["r2"]}},
 "services"`, 1), `"read":{`, `"open":{"host":"h","prefix":"/open/","routeType":"idempotent","timeoutS":2,"targetLatencyS":1,"priority":2,"service":"plain","attempts":2,"allowAnonymous":true},
 "read":{`, 1)

// ask sends a request with a key and a forged workspace.
func ask(t *testing.T, client *http.Client, address, method, path, key string, body string) *http.Response {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "h"
	for name, value := range map[string]string{
		"X-Request-Id": "q1", "X-Deadline-Ms": "2000", "X-Tenant-Id": "alpha", "X-Caller-Service": "plain", "Lagoonlanding-W": "alpha", "Lagoonlanding-T": "9 9 9 9",
	} {
		request.Header.Set(name, value)
	}
	if key != "" {
		request.Header.Set("X-Credential", key)
	}
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	return response
}

func TestRequestsAreIdentifiedByTheirKeys(t *testing.T) {
	store := simulator.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	fleet := startFleetAt(t, store, server.Listener.Addr().String())
	put(t, store, "op/config", fmt.Sprintf(tenantConfig, 2, "key-beta"))
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	address := fleet["divided-1"].clientAddress
	waitFor(t, "the workspaces are known", 3*time.Second, func() bool { return ask(t, client, address, "GET", "/read/x", "", "").StatusCode == 401 })
	for _, test := range []struct {
		name, path, key string
		status          int
		workspace       string
	}{
		{"no key", "/write/x", "", 401, ""},
		{"an unknown key", "/write/x", "key-other", 401, ""},
		{"a known key", "/write/x", "key-alpha", 200, "alpha"},
		{"no key on an open route", "/open/x", "", 200, ""},
		{"an unknown key on an open route", "/open/x", "key-other", 200, ""},
		{"a known key on an open route", "/open/x", "key-gamma", 200, "gamma"},
		{"no route", "/none/x", "", 404, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			// The body must not break the connection if it is not read.
			response := ask(t, client, address, "POST", test.path, test.key, strings.Repeat("x", 4096))
			if response.StatusCode != test.status || response.Header.Get("X-Seen-Tenant") != test.workspace || response.Header.Get("X-Seen-Credential") != "" {
				t.Errorf("got %d, workspace %q, key %q", response.StatusCode, response.Header.Get("X-Seen-Tenant"), response.Header.Get("X-Seen-Credential"))
			}
		})
	}
	t.Run("the regions of a workspace apply", func(t *testing.T) {
		for range 8 {
			if response := ask(t, client, address, "GET", "/read/x", "key-gamma", ""); response.Header.Get("X-Server-Signature") != "signed-by-i-plain-2" {
				t.Errorf("got %d from %q", response.StatusCode, response.Header.Get("X-Server-Signature"))
			}
		}
	})
	t.Run("a removed key", func(t *testing.T) {
		put(t, store, "op/config", strings.ReplaceAll(fmt.Sprintf(tenantConfig, 3, "key-beta"), "key-alpha", "key-new"))
		waitFor(t, "the removed key is refused on an open connection", 3*time.Second, func() bool {
			return ask(t, client, address, "GET", "/read/x", "key-alpha", "").StatusCode == 401
		})
		if response := ask(t, client, address, "GET", "/read/x", "key-new", ""); response.StatusCode != 200 {
			t.Errorf("got %d for the new key", response.StatusCode)
		}
	})
	t.Run("no workspaces", func(t *testing.T) {
		put(t, store, "op/config", fmt.Sprintf(testConfig, 4))
		waitFor(t, "the headers are passed on", 3*time.Second, func() bool {
			response := ask(t, client, address, "GET", "/read/x", "key-any", "")
			return response.Header.Get("X-Seen-Tenant") == "alpha" && response.Header.Get("X-Seen-Credential") == "key-any"
		})
	})
}

func TestQuotaHoldsOverAllDaemons(t *testing.T) {
	store := simulator.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	fleet := startFleetAt(t, store, server.Listener.Addr().String())
	put(t, store, "op/config", fmt.Sprintf(tenantConfig, 2, "key-beta"))
	began := time.Now()
	var mutex sync.Mutex
	var served []time.Time
	var senders sync.WaitGroup
	for _, daemon := range fleet {
		senders.Go(func() {
			client := &http.Client{}
			for time.Since(began) < 14*time.Second {
				response := ask(t, client, daemon.clientAddress, "GET", "/read/x", "key-beta", "")
				switch {
				case response.StatusCode == 200:
					mutex.Lock()
					served = append(served, time.Now())
					mutex.Unlock()
				case response.StatusCode == 429:
					if delay, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err != nil || delay <= 0 || delay > 5 {
						t.Errorf("got Retry-After %q", response.Header.Get("Retry-After"))
					}
				case response.StatusCode != 401:
					t.Errorf("got status %d", response.StatusCode)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	senders.Wait()
	slices.SortFunc(served, time.Time.Compare)
	most, first, late := 0, 0, 0
	for last, at := range served {
		for at.Sub(served[first]) >= 5*time.Second {
			first++
		}
		most = max(most, last-first+1)
		if at.Sub(began) > 9*time.Second {
			late++
		}
	}
	// (3 x 5 + 3) x 1.1 + 20 requests are permitted in 5 s, and 3 a second must get through once the quota is shared out.
	if most > 39 || late < 12 {
		t.Errorf("%d requests were served in a window, %d in the last 5 s", most, late)
	}
	t.Logf("%d requests were served in a window, %d in the last 5 s", most, late)
}
