package quota

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Requests within the limit are admitted, however they are spread over the hosts, and requests over
// it are refused. Guards against shares of the limit that lie unused at hosts without requests.
func TestLimitIsUsedHoweverTheEntryIsSpread(t *testing.T) {
	for _, limit := range []float64{3, 120} {
		for _, entry := range []string{"all hosts", "one host", "one in 84"} {
			t.Run(fmt.Sprint(limit, " a second at ", entry), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newCluster(t, 84, limit, limit, 1)
					pick := c.anywhere
					switch entry {
					case "one host":
						pick = func() string { return c.names[17] }
					case "one in 84":
						n := 0
						pick = func() string { n++; return c.names[n/50%84] }
					}
					time.Sleep(5 * time.Second)
					begun := time.Now()
					c.change(func() { c.room, c.roomAt = limit, begun })
					for _, multiple := range []float64{1, 5.5} {
						_, _, _, messages := c.counts()
						before := messages
						c.run(multiple*limit/1.6, 6*time.Second, pick)
						admitted, refused, wrongful, messages := c.counts()
						t.Logf("%g times the usual rate: %d admitted, %d refused, %d wrongly, %.1f messages a second in all", multiple, admitted, refused, wrongful, float64(messages-before)/6)
						if wrongful > 0 {
							t.Errorf("%d requests within the limit were refused", wrongful)
						}
					}
					c.check(c.limit, begun)
				})
			})
		}
	}
}
