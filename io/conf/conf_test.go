package conf_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"wagtailyoke/io/conf"
)

const valid = `[node]
name = "mill-st-stockdesk-1"
domain = "mill-st"
service = "stockdesk"

[listen]
public = "127.0.0.1:8000"
egress = "127.0.0.1:8001"
peer = "127.0.0.1:8002"
ops = "127.0.0.1:8003"

[upstream]
address = "127.0.0.1:9000"

[platform]
url = "http://127.0.0.1:7000"

[fleet]
secret = "a-secret-of-the-fleet"
`

// expectFault replaces old by text in the valid settings and expects an error that contains wanted.
func expectFault(t *testing.T, old, text, wanted string) {
	t.Helper()
	_, err := conf.Parse("node.toml", []byte(strings.Replace(valid, old, text, 1)))
	if err == nil || !errors.Is(err, conf.ErrInvalid) {
		t.Errorf("%q: got %v, wanted a fault", text, err)
		return
	}
	if !strings.Contains(err.Error(), wanted) {
		t.Errorf("%q: got %q, wanted %q", text, err, wanted)
	}
}

func TestValidSettings(t *testing.T) {
	c := qt.New(t)
	s, err := conf.Parse("node.toml", []byte(valid))
	c.Assert(err, qt.IsNil)
	c.Assert(s.Platform.TimeoutMs, qt.Equals, 2000)
}

func TestFaults(t *testing.T) {
	expectFault(t, `name = "mill-st-stockdesk-1"`, `name = "Mill St"`, `node.toml:2: node.name: "Mill St" is no name; accepted: 1 to 63 characters`)
	expectFault(t, `service = "stockdesk"`, ``, `node.toml:1: node.service: "" is no name`)
	expectFault(t, `public = "127.0.0.1:8000"`, `public = "localhost:8000"`, `node.toml:7: listen.public: "localhost:8000" is no address; accepted: IP:PORT`)
	expectFault(t, `url = "http://127.0.0.1:7000"`, `url = "127.0.0.1"`, `node.toml:16: platform.url`)
	expectFault(t, `secret = "a-secret-of-the-fleet"`, `secret = "short"`, `node.toml:19: fleet.secret: it has 5 characters`)
	expectFault(t, `secret = "a-secret-of-the-fleet"`, "secret = \"a-secret-of-the-fleet\"\nstopSeconds = 9999", `node.toml:20: fleet.stopSeconds: 9999 is out of range; accepted: 1 to 600`)
	expectFault(t, `address = `, `adress = `, `node.toml:13: upstream.adress: unknown key`)
	expectFault(t, `[fleet]`, `[fleet`, `node.toml:18:`)
	expectFault(t, `"mill-st"`, `7`, `node.toml:3: node.domain:`)
}

// TestErrorOmitsSecret checks that an invalid secret does not appear in the error.
func TestErrorOmitsSecret(t *testing.T) {
	_, err := conf.Parse("node.toml", []byte(strings.Replace(valid, `secret = "a-secret-of-the-fleet"`, `secret = "planted"`, 1)))
	if err == nil || strings.Contains(err.Error(), "planted") {
		t.Errorf("got %v", err)
	}
}

func TestMissingFile(t *testing.T) {
	c := qt.New(t)
	_, err := conf.Load(filepath.Join(t.TempDir(), "none.toml"))
	c.Assert(errors.Is(err, conf.ErrInvalid), qt.IsTrue)
	file := filepath.Join(t.TempDir(), "node.toml")
	c.Assert(os.WriteFile(file, []byte(valid), 0o600), qt.IsNil)
	_, err = conf.Load(file)
	c.Assert(err, qt.IsNil)
}

func FuzzParse(f *testing.F) {
	f.Add(valid)
	f.Add("[node]\nname = 1")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := conf.Parse("f", []byte(text))
		if (s == nil) == (err == nil) {
			t.Errorf("settings %v and error %v", s, err)
		}
	})
}
