// Command yuccausher schedules agent programs between callers and targets.
package main

func main() {}
