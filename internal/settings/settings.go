// Package settings reads the settings of a host from flags and, under the
// same names, from the environment. It reports every wrong setting at once.
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

// EnvPrefix starts the name of each setting in the environment: -log-url is
// YUCCAUSHER_LOG_URL.
const EnvPrefix = "YUCCAUSHER"

// Wrong is one setting that can't be used.
type InvalidSetting struct {
	// Name is the flag with its dash.
	Name  string
	Value string
	// Allowed says what the setting may be.
	Allowed string
}

// WrongError lists all wrong settings.
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

// group is a set of settings that are all read before any is judged.
type group struct {
	flags    *flag.FlagSet
	settings []*setting
}

// setting is one setting as text, with the function that takes its value and
// says whether it is allowed.
type setting struct {
	name    string
	text    string
	allowed string
	take    func(string) bool
}

// String implements flag.Value.
func (s *setting) String() string {
	if s == nil {
		return ""
	}
	return s.text
}

// Set implements flag.Value. Any text passes here; finish judges it.
func (s *setting) Set(text string) error {
	s.text = text
	return nil
}

// add defines a setting. The allowed values end its line in the help.
func (g *group) add(name, standard, usage, allowed string, take func(string) bool) {
	s := &setting{name: name, text: standard, allowed: allowed, take: take}
	g.settings = append(g.settings, s)
	g.flags.Var(s, name, usage+"; `"+kindOf(allowed)+"`"+strings.TrimPrefix(allowed, kindOf(allowed)))
}

// kindOf returns the first word of what is allowed.
func kindOf(allowed string) string {
	word, _, _ := strings.Cut(allowed, " ")
	return strings.TrimRight(word, ",;")
}

// finish adds the environment to the flags that were parsed, and takes all
// values. unknown lists flags that are not defined.
func (g *group) finish(unknown []string) error {
	rest := g.flags.Args()
	if err := ff.Parse(g.flags, nil, ff.WithEnvVarPrefix(EnvPrefix)); err != nil {
		return err
	}
	var wrong []InvalidSetting
	for _, name := range unknown {
		wrong = append(wrong, InvalidSetting{Name: name, Allowed: "is not a known setting"})
	}
	for _, s := range g.settings {
		if !s.take(s.text) {
			wrong = append(wrong, InvalidSetting{Name: "-" + s.name, Value: s.text, Allowed: s.allowed})
		}
	}
	if len(rest) > 0 {
		wrong = append(wrong, InvalidSetting{Name: strings.Join(rest, " "), Allowed: "is not expected after the flags"})
	}
	if len(wrong) == 0 {
		return nil
	}
	return &InvalidSettingsError{Settings: wrong}
}

// SplitUnknown returns the arguments that flags defines, and the names of the
// flags that it does not.
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

// flagName returns the name in a flag argument, or "" if it is none.
func flagName(arg string) (name string, hasValue bool) {
	if len(arg) < 2 || arg[0] != '-' || arg == "--" {
		return "", false
	}
	name, _, hasValue = strings.Cut(strings.TrimLeft(arg, "-"), "=")
	return name, hasValue
}

func takeText(out *string) func(string) bool {
	return func(text string) bool {
		*out = text
		return text != ""
	}
}

// takeAddress takes an IP and a port. A port of zero means any free one.
func takeAddress(out *string) func(string) bool {
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

// takeURL takes an HTTP address without a path's last slash.
func takeURL(out *string) func(string) bool {
	return func(text string) bool {
		u, err := url.Parse(text)
		*out = strings.TrimRight(text, "/")
		return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	}
}

func optional(take func(string) bool) func(string) bool {
	return func(text string) bool { return text == "" || take(text) }
}

func takeOne(out *string, allowed []string) func(string) bool {
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

func takeDuration(out *time.Duration, least, most time.Duration) func(string) bool {
	return func(text string) bool {
		d, err := time.ParseDuration(text)
		*out = d
		return err == nil && d >= least && d <= most
	}
}

func takeNumber(out *int64, least, most int64) func(string) bool {
	return func(text string) bool {
		n, err := strconv.ParseInt(text, 10, 64)
		*out = n
		return err == nil && n >= least && n <= most
	}
}

// sizeUnits are the units of a size in bytes, longest name first.
var sizeUnits = []struct {
	name  string
	bytes int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// takeSize takes a size in bytes with an optional unit.
func takeSize(out *int64, least, most int64) func(string) bool {
	return func(text string) bool {
		unit := int64(1)
		for _, u := range sizeUnits {
			if rest, ok := strings.CutSuffix(text, u.name); ok {
				text, unit = rest, u.bytes
				break
			}
		}
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || n < 0 || n > most/unit {
			return false
		}
		*out = n * unit
		return *out >= least
	}
}
