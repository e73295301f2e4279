package wire

import "fmt"

// InvalidStatuses returns responses with a status that no final response has, by name. Status 101 is one that was not asked for. They have the given lines of
// header fields, each with its end, and body.
func InvalidStatuses(fields, body string) map[string]string {
	responses := make(map[string]string)
	for _, status := range []string{"000", "042", "099", "+20", "101"} {
		responses["status "+status] = responseText(status, fields, body)
		responses["status "+status+" without a body"] = responseText(status, fields, "")
	}
	return responses
}

// responseText returns a response with a length.
func responseText(status, fields, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s Text\r\n%sContent-Length: %d\r\n\r\n%s", status, fields, len(body), body)
}
