package capacity

import (
	"fmt"
	"sort"
	"strings"
)

// The markers between which the page's tables stand.
const (
	beginMark = "<!-- capacity tables: begin -->"
	endMark   = "<!-- capacity tables: end -->"
)

// PageError says why a page can't take the tables.
type PageError struct{ Missing string }

// Error implements error.
func (e *PageError) Error() string { return "page has no line " + e.Missing }

// Insert returns the page with fresh tables between its markers. Its error is
// a *PageError.
func Insert(page, tables string) (string, error) {
	head, rest, ok := strings.Cut(page, beginMark)
	if !ok {
		return "", &PageError{Missing: beginMark}
	}
	_, tail, ok := strings.Cut(rest, endMark)
	if !ok {
		return "", &PageError{Missing: endMark}
	}
	return head + beginMark + "\n\n" + tables + "\n" + endMark + tail, nil
}

// Tables renders the roles, the failures and the slopes in Markdown.
func Tables(m Measurements, s Size) string {
	var b strings.Builder
	b.WriteString("### Roles\n\n")
	writeRows(&b, Rows(m, s))
	b.WriteString("\n### Failures\n\n")
	writeFailures(&b, Failures(s))
	b.WriteString("\n### Slopes\n\n")
	writeSlopes(&b, m)
	return b.String()
}

func writeRows(b *strings.Builder, rows []Row) {
	b.WriteString("| role | figure | class | value | bound | verdict | worked from | mechanism |\n")
	b.WriteString("| --- | --- | --- | ---: | ---: | --- | --- | --- |\n")
	for _, r := range rows {
		limit := ""
		if r.Limit > 0 {
			limit = format(r.Limit, r.Unit)
		}
		fmt.Fprintf(b, "| %s | %s | %s | %s | %s | %s | %s | %s |\n",
			r.Role, r.Quantity, r.Class, format(r.Value, r.Unit), limit, verdict(r), r.Basis, r.Mechanism)
	}
}

func verdict(r Row) string {
	switch {
	case r.Missing():
		return "not measured"
	case r.Over():
		return fmt.Sprintf(`<span style="color:red">**over, %.1f times**</span>`, r.Value/r.Limit)
	case r.Limit > 0:
		return "within"
	}
	return ""
}

func writeFailures(b *strings.Builder, rows []FailureRow) {
	b.WriteString("| failure | a day | hosts | partitions moved | programs moved | history to read, at most | claim appends, relayed |\n")
	b.WriteString("| --- | ---: | ---: | ---: | ---: | ---: | ---: |\n")
	for _, r := range rows {
		fmt.Fprintf(b, "| %s | %.3g | %.0f | %.0f | %.0f | %s | %.0f |\n",
			r.Failure, r.PerDay, r.Hosts, r.Partitions, r.Programs, format(r.HistoryBytes, Bytes), r.ClaimAppends)
	}
}

func writeSlopes(b *strings.Builder, m Measurements) {
	keys := make([]Key, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].Name != keys[j].Name {
			return keys[i].Name < keys[j].Name
		}
		return keys[i].Unit < keys[j].Unit
	})
	b.WriteString("| benchmark | unit | sizes | intercept | slope | largest residual |\n")
	b.WriteString("| --- | --- | --- | ---: | ---: | ---: |\n")
	for _, k := range keys {
		l := Fit(m[k])
		fmt.Fprintf(b, "| %s | %s | %s | %.4g | %.4g | %.1f%% |\n",
			k.Name, k.Unit, sizes(m[k]), l.Intercept, l.Slope, 100*l.Residual)
	}
}

func sizes(points []Point) string {
	names := make([]string, len(points))
	for i, p := range points {
		names[i] = fmt.Sprintf("%.0f", p.N)
	}
	return strings.Join(names, ", ")
}

func format(v float64, u Unit) string {
	switch u {
	case Cores:
		return fmt.Sprintf("%.3g%% of a core", 100*v)
	case Bytes:
		return scaled(v) + "B"
	case ByteRate:
		return scaled(v) + "B/s"
	case Rate:
		return fmt.Sprintf("%.4g/s", v)
	case Seconds:
		return fmt.Sprintf("%.3g s", v)
	}
	return fmt.Sprintf("%.3g", v)
}

// scaled writes a number of bytes with a binary prefix.
func scaled(v float64) string {
	for _, prefix := range []string{"", "Ki", "Mi", "Gi"} {
		if v < 1024 {
			return fmt.Sprintf("%.3g %s", v, prefix)
		}
		v /= 1024
	}
	return fmt.Sprintf("%.3g Ti", v)
}
