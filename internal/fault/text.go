package fault

// Text returns what an error says, for a log line; empty without an error.
func Text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
