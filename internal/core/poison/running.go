package poison

import "slices"

// flights holds the targets on which a content is in flight, one entry per
// request.
type flights map[uint64][]string

func (f flights) add(fingerprint uint64, target string) {
	f[fingerprint] = append(f[fingerprint], target)
}

func (f flights) remove(fingerprint uint64, target string) {
	targets := f[fingerprint]
	at := slices.Index(targets, target)
	if at < 0 {
		return
	}
	targets = slices.Delete(targets, at, at+1)
	if len(targets) == 0 {
		delete(f, fingerprint)
		return
	}
	f[fingerprint] = targets
}

// others counts the targets besides one.
func (f flights) others(fingerprint uint64, target string) int {
	first := ""
	count := 0
	for _, t := range f[fingerprint] {
		if t == target || t == first {
			continue
		}
		if first == "" {
			first = t
		}
		count++
	}
	return count
}
