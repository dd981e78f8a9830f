package main

import (
	"fmt"
	"net/http"
	"time"
)

// halfClose lets two of five clients leave before their deadline by closing their sending side,
// while they wait for the answer or within their body.
func halfClose(w *world, trouble bool) (verdict, error) {
	w.configure(route("post", "unsafe", "app", 6000, 800, ""))
	for range 2 {
		if _, err := w.addReplica("app", plain(500*time.Millisecond)); err != nil {
			return verdict{}, err
		}
	}
	if err := w.addHosts(2); err != nil {
		return verdict{}, err
	}
	time.Sleep(stableWindow + time.Second)
	var waiting, sending int
	for i := range 20 {
		q := request{method: http.MethodPost, path: "/post/x", id: fmt.Sprintf("p%03d", i), body: "posting", deadline: 6 * time.Second}
		leaves, isSending := trouble && i%5 < 2, i%5 == 1
		if leaves {
			q.closeWriteAfter = 200 * time.Millisecond
			if isSending {
				q.missingBytes = 100
			}
		}
		a := w.send(w.hosts[i%2].front, q)
		switch {
		case a.status/100 != 2 || a.stamp != "":
		case isSending:
			sending++
		default:
			waiting++
		}
	}
	return verdict{waiting+sending > 0, fmt.Sprintf("of 20 clients, %d got a success without a replica's stamp for a posting that was sent whole, %d for one that was not", waiting, sending)}, nil
}
