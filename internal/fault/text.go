package fault

// Text returns the message of err for a log line, or an empty string if err is nil.
func Text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
