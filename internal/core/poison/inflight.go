package poison

import "slices"

// inFlight holds, by fingerprint, the targets that run the content, with one entry
// for each request.
type inFlight map[uint64][]string

func (f inFlight) add(fingerprint uint64, target string) {
	f[fingerprint] = append(f[fingerprint], target)
}

func (f inFlight) remove(fingerprint uint64, target string) {
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

// countOthers returns the number of targets that run the content, without target.
func (f inFlight) countOthers(fingerprint uint64, target string) int {
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
