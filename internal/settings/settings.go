// Package settings reads the settings of a host from flags and from environment
// variables of the same names. It reports all invalid settings at once.
package settings

import (
	"flag"
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
)

// EnvPrefix is the prefix of the environment variables: -log-url is set by
// YUCCAUSHER_LOG_URL.
const EnvPrefix = "YUCCAUSHER"

// InvalidSetting is one setting with an invalid value.
type InvalidSetting struct {
	// Name is the flag with its dash.
	Name  string
	Value string
	// Allowed describes the allowed values.
	Allowed string
}

// InvalidSettingsError lists all invalid settings.
type InvalidSettingsError struct {
	Settings []InvalidSetting
}

// Error implements error. It has one line per setting.
func (e *InvalidSettingsError) Error() string {
	lines := make([]string, 0, len(e.Settings))
	for _, w := range e.Settings {
		lines = append(lines, w.Name+" "+strconv.Quote(w.Value)+": "+w.Allowed)
	}
	return strings.Join(lines, "\n")
}

// group is a set of settings. All are read before any is validated, so that all
// invalid ones are reported together.
type group struct {
	flags    *flag.FlagSet
	settings []*setting
}

// setting is one setting as text, with the function that parses and stores its
// value and reports whether it is allowed.
type setting struct {
	name    string
	text    string
	allowed string
	parse   func(string) bool
}

// String implements flag.Value.
func (s *setting) String() string {
	if s == nil {
		return ""
	}
	return s.text
}

// Set implements flag.Value. It accepts any text; resolve validates it.
func (s *setting) Set(text string) error {
	s.text = text
	return nil
}

// add defines a setting. The help ends with a description of the allowed values.
func (g *group) add(name, defaultText, usage, allowed string, parse func(string) bool) {
	s := &setting{name: name, text: defaultText, allowed: allowed, parse: parse}
	g.settings = append(g.settings, s)
	g.flags.Var(s, name, usage+"; `"+firstWord(allowed)+"`"+strings.TrimPrefix(allowed, firstWord(allowed)))
}

// firstWord returns the first word of a description of allowed values, which the
// help shows as the placeholder of the value.
func firstWord(allowed string) string {
	word, _, _ := strings.Cut(allowed, " ")
	return strings.TrimRight(word, ",;")
}

// resolve reads the environment for flags that were not given and parses all
// values. unknown lists the flags that are not defined.
func (g *group) resolve(unknown []string) error {
	rest := g.flags.Args()
	if err := ff.Parse(g.flags, nil, ff.WithEnvVarPrefix(EnvPrefix)); err != nil {
		return err
	}
	var invalid []InvalidSetting
	for _, name := range unknown {
		invalid = append(invalid, InvalidSetting{Name: name, Allowed: "is not a known setting"})
	}
	for _, s := range g.settings {
		if !s.parse(s.text) {
			invalid = append(invalid, InvalidSetting{Name: "-" + s.name, Value: s.text, Allowed: s.allowed})
		}
	}
	if len(rest) > 0 {
		invalid = append(invalid, InvalidSetting{Name: strings.Join(rest, " "), Allowed: "is not expected after the flags"})
	}
	if len(invalid) == 0 {
		return nil
	}
	return &InvalidSettingsError{Settings: invalid}
}

// SplitUnknown returns the arguments that belong to defined flags, and the names
// of the flags that are not defined.
func SplitUnknown(flags *flag.FlagSet, args []string) (known, unknown []string) {
	for i := 0; i < len(args); i++ {
		name, hasValue := flagName(args[i])
		if name == "" {
			return append(known, args[i:]...), unknown
		}
		isKnown := flags.Lookup(name) != nil || name == "help" || name == "h"
		takesNext := !hasValue && i+1 < len(args) && !strings.HasPrefix(args[i+1], "-")
		if !isKnown {
			unknown = append(unknown, "-"+name)
		} else {
			known = append(known, args[i])
		}
		if takesNext {
			i++
			if isKnown {
				known = append(known, args[i])
			}
		}
	}
	return known, unknown
}

// flagName returns the name of a flag argument, or "" if arg is not a flag.
func flagName(arg string) (name string, hasValue bool) {
	if len(arg) < 2 || arg[0] != '-' || arg == "--" {
		return "", false
	}
	name, _, hasValue = strings.Cut(strings.TrimLeft(arg, "-"), "=")
	return name, hasValue
}

func parseText(out *string) func(string) bool {
	return func(text string) bool {
		*out = text
		return text != ""
	}
}

// parseAddress parses an IP address and a port. Port zero means any free port.
func parseAddress(out *string) func(string) bool {
	return func(text string) bool {
		*out = text
		host, portText, err := net.SplitHostPort(text)
		if err != nil || net.ParseIP(host) == nil {
			return false
		}
		_, err = strconv.ParseUint(portText, 10, 16)
		return err == nil
	}
}

// parseURL parses an HTTP URL and removes trailing slashes.
func parseURL(out *string) func(string) bool {
	return func(text string) bool {
		u, err := url.Parse(text)
		*out = strings.TrimRight(text, "/")
		return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	}
}

func optional(parse func(string) bool) func(string) bool {
	return func(text string) bool { return text == "" || parse(text) }
}

func parseOne(out *string, allowed []string) func(string) bool {
	return func(text string) bool {
		*out = text
		for _, a := range allowed {
			if a == text {
				return true
			}
		}
		return false
	}
}

func parseDuration(out *time.Duration, minimum, maximum time.Duration) func(string) bool {
	return func(text string) bool {
		d, err := time.ParseDuration(text)
		*out = d
		return err == nil && d >= minimum && d <= maximum
	}
}

func parseNumber(out *int64, minimum, maximum int64) func(string) bool {
	return func(text string) bool {
		n, err := strconv.ParseInt(text, 10, 64)
		*out = n
		return err == nil && n >= minimum && n <= maximum
	}
}

// sizeUnits are the units of sizes. "B" is last, since it is a suffix of the others.
var sizeUnits = []struct {
	name  string
	bytes int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// parseSize parses a size with an optional unit; without one it is in bytes.
func parseSize(out *int64, minimum, maximum int64) func(string) bool {
	return func(text string) bool {
		unit := int64(1)
		for _, u := range sizeUnits {
			if rest, ok := strings.CutSuffix(text, u.name); ok {
				text, unit = rest, u.bytes
				break
			}
		}
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || n < 0 || n > maximum/unit {
			return false
		}
		*out = n * unit
		return *out >= minimum
	}
}
