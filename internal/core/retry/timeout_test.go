package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Targets that are gone make every tenth connection time out, while the others take a
// few milliseconds.
func TestTimeoutStaysShortWhileMostOperationsSucceed(t *testing.T) {
	is := is.New(t)
	limits := Timeout{Min: 100 * time.Millisecond, Max: 700 * time.Millisecond}
	is.Equal(limits.Limit(), limits.Max)
	for i := range 200 {
		if i%10 == 9 {
			limits.Expired()
			continue
		}
		limits.Succeeded(time.Duration(2+i%3) * time.Millisecond)
		is.Equal(limits.Limit(), limits.Min)
	}
}

// A link that becomes slow must not make every operation fail.
func TestTimeoutFollowsOperationsThatBecomeSlow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Timeout{Min: 100 * time.Millisecond, Max: 700 * time.Millisecond}
		fast := time.Duration(rapid.Int64Range(int64(100*time.Microsecond), int64(50*time.Millisecond)).Draw(t, "fast"))
		slow := time.Duration(rapid.Int64Range(int64(fast), int64(690*time.Millisecond)).Draw(t, "slow"))
		for range 20 {
			limits.Succeeded(fast)
		}
		failures := 0
		for range 30 {
			if slow > limits.Limit() {
				limits.Expired()
				failures++
				continue
			}
			limits.Succeeded(slow)
		}
		if failures > 12 {
			t.Fatalf("%d of 30 operations of %s failed", failures, slow)
		}
	})
}
