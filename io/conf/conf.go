// Package conf reads the settings of a node or sidecar from TOML and validates them.
//
// # Usage
//
//	s, err := conf.Load("node.toml")
//	// err lists every fault with its file, line, key and the accepted values.
package conf

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"regexp"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// ErrInvalid means that a settings file has faults.
var ErrInvalid = errors.New("invalid settings")

// Settings holds the settings of a node.
type Settings struct {
	Node     Node     `toml:"node"`
	Listen   Listen   `toml:"listen"`
	Upstream Upstream `toml:"upstream"`
	Platform Platform `toml:"platform"`
	Fleet    Fleet    `toml:"fleet"`
}

// Node holds the node's name, failure domain and service.
type Node struct {
	Name    string `toml:"name"`
	Domain  string `toml:"domain"`
	Service string `toml:"service"`
}

// Listen holds the addresses of the four listeners.
type Listen struct {
	Public string `toml:"public"`
	Egress string `toml:"egress"`
	Peer   string `toml:"peer"`
	Ops    string `toml:"ops"`
	// MaxConnections bounds the connections of the public listener.
	MaxConnections int `toml:"maxConnections"`
}

// Upstream is the service process on this VM.
type Upstream struct {
	Address string `toml:"address"`
}

// Platform is the platform's object API.
type Platform struct {
	URL       string `toml:"url"`
	TimeoutMs int    `toml:"timeoutMs"`
}

// Fleet holds the settings of the node as a member of the fleet.
type Fleet struct {
	Secret string   `toml:"secret"`
	Seeds  []string `toml:"seeds"`
	// StopSeconds bounds a graceful shutdown.
	StopSeconds int `toml:"stopSeconds"`
}

// Defaults and limits.
const (
	defaultTimeoutMs      = 2000
	defaultStopSeconds    = 30
	defaultMaxConnections = 10000
	minSecretLength       = 16
	maxSecretLength       = 64
)

// Fault is one error in a settings file.
type Fault struct {
	Line     int
	Key      string
	Problem  string
	Accepted string
}

// Faults is the error of Load. It matches ErrInvalid.
type Faults struct {
	File string
	List []Fault
}

// Error lists all faults, one per line.
func (f *Faults) Error() string {
	lines := make([]string, 0, len(f.List))
	for _, fault := range f.List {
		lines = append(lines, fmt.Sprintf("%s:%d: %s: %s; accepted: %s", f.File, fault.Line, fault.Key, fault.Problem, fault.Accepted))
	}
	return strings.Join(lines, "\n")
}

// Is makes the error match ErrInvalid.
func (f *Faults) Is(target error) bool { return target == ErrInvalid }

// Load reads and checks a settings file.
func Load(file string) (*Settings, error) { return load(file, Parse) }

// load reads a settings file and parses it.
func load[S any](file string, parse func(file string, text []byte) (*S, error)) (*S, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(ErrInvalid, err.Error())
	}
	return parse(file, text)
}

// parse decodes the text of a settings file and validates it with check.
func parse[S any](file string, text []byte, check func(c *checker, s *S)) (*S, error) {
	s := new(S)
	c := &checker{text: string(text)}
	c.decode(s)
	if len(c.faults) == 0 {
		check(c, s)
	}
	if len(c.faults) > 0 {
		return nil, &Faults{File: file, List: c.faults}
	}
	return s, nil
}

// Parse decodes and validates the text of a settings file.
func Parse(file string, text []byte) (*Settings, error) {
	return parse(file, text, func(c *checker, s *Settings) {
		s.setDefaults()
		c.checkNode(s)
	})
}

func (s *Settings) setDefaults() {
	setDefault(&s.Platform.TimeoutMs, defaultTimeoutMs)
	setDefault(&s.Fleet.StopSeconds, defaultStopSeconds)
	setDefault(&s.Listen.MaxConnections, defaultMaxConnections)
}

func setDefault(v *int, d int) {
	if *v == 0 {
		*v = d
	}
}

// checker decodes and validates one settings file and collects the faults.
type checker struct {
	text   string
	faults []Fault
}

func (c *checker) decode(s any) {
	decoder := toml.NewDecoder(strings.NewReader(c.text)).DisallowUnknownFields()
	err := decoder.Decode(s)
	var strict *toml.StrictMissingError
	var syntax *toml.DecodeError
	switch {
	case err == nil:
	case errors.As(err, &strict):
		for i := range strict.Errors {
			row, _ := strict.Errors[i].Position()
			c.add(row, strings.Join(strict.Errors[i].Key(), "."), "unknown key", "the keys in docs/OPERATIONS.md")
		}
	case errors.As(err, &syntax):
		row, _ := syntax.Position()
		c.add(row, strings.Join(syntax.Key(), "."), syntax.Error(), "TOML with values of the types in docs/OPERATIONS.md")
	default:
		c.add(1, "file", err.Error(), "TOML")
	}
}

func (c *checker) add(line int, key, problem, accepted string) {
	c.faults = append(c.faults, Fault{Line: line, Key: key, Problem: problem, Accepted: accepted})
}

// findLine returns the line of section.key, else the line of the section, else 1.
func (c *checker) findLine(section, key string) int {
	current, found := "", 1
	for i, line := range strings.Split(c.text, "\n") {
		trimmed := strings.TrimSpace(line)
		if strings.HasPrefix(trimmed, "[") {
			current = strings.Trim(trimmed, "[] ")
			if current == section {
				found = i + 1
			}
			continue
		}
		name, _, ok := strings.Cut(trimmed, "=")
		if ok && current == section && strings.TrimSpace(name) == key {
			return i + 1
		}
	}
	return found
}

func (c *checker) addFault(section, key, problem, accepted string) {
	c.add(c.findLine(section, key), section+"."+key, problem, accepted)
}

func (c *checker) checkNode(s *Settings) {
	c.checkName("node", "name", s.Node.Name)
	c.checkName("node", "domain", s.Node.Domain)
	c.checkName("node", "service", s.Node.Service)
	c.checkAddress("listen", "public", s.Listen.Public)
	c.checkAddress("listen", "egress", s.Listen.Egress)
	c.checkAddress("listen", "peer", s.Listen.Peer)
	c.checkAddress("listen", "ops", s.Listen.Ops)
	c.checkAddress("upstream", "address", s.Upstream.Address)
	c.checkIntRange("listen", "maxConnections", s.Listen.MaxConnections, 1, 1_000_000)
	c.checkIntRange("platform", "timeoutMs", s.Platform.TimeoutMs, 100, 60_000)
	c.checkIntRange("fleet", "stopSeconds", s.Fleet.StopSeconds, 1, 600)
	u, err := url.Parse(s.Platform.URL)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		c.addFault("platform", "url", fmt.Sprintf("%q is no URL", s.Platform.URL), "http://HOST:PORT or https://HOST:PORT")
	}
	if len(s.Fleet.Secret) < minSecretLength || len(s.Fleet.Secret) > maxSecretLength {
		// The message omits the value because it is a secret.
		c.addFault("fleet", "secret", fmt.Sprintf("it has %d characters", len(s.Fleet.Secret)),
			fmt.Sprintf("%d to %d characters, the same at every node", minSecretLength, maxSecretLength))
	}
	for _, seed := range s.Fleet.Seeds {
		c.checkAddress("fleet", "seeds", seed)
	}
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

func (c *checker) checkName(section, key, value string) {
	if !namePattern.MatchString(value) {
		c.addFault(section, key, fmt.Sprintf("%q is no name", value), "1 to 63 characters of a-z, 0-9, dot and hyphen, starting with a letter or digit")
	}
}

func (c *checker) checkAddress(section, key, value string) {
	host, port, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		c.addFault(section, key, fmt.Sprintf("%q is no address", value), "IP:PORT with a numeric IP, for example 10.1.2.3:8080")
	}
}

func (c *checker) checkIntRange(section, key string, value, minValue, maxValue int) {
	if value < minValue || value > maxValue {
		c.addFault(section, key, fmt.Sprintf("%d is out of range", value), fmt.Sprintf("%d to %d", minValue, maxValue))
	}
}
