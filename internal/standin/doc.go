// Package standin holds small stand-ins of the platform and of the targets:
// the log, model engines, plain services and the host list. The cores live in
// memory and use the time package alone, so that tests drive them in virtual
// time; Server puts HTTP around them.
package standin
