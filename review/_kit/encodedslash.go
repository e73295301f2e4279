package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

func init() { cases["encoded-slash"] = runEncodedSlash }

// Loss of answers, at the largest dose of the site file: share 0.6, x 0.4, for_s 6.58.
const (
	twiceReplicas = 5
	losingReplica = 3   // the first of them lose answers
	lostAnswers   = 0.4 // of the requests that they run
	lossTime      = 6 * time.Second
	encodedCount  = 150
)

// runEncodedSlash sends requests that must run once at most, while replicas lose answers.
func runEncodedSlash(d *deployment) ([]string, error) {
	err := d.put("config", "main", plainManifest(plainRoute("/", "non_idempotent", 1), plainRoute("/read/", "idempotent", 2)))
	if err != nil {
		return nil, err
	}
	replicas, err := d.startPlainReplicas(twiceReplicas, func(replica string) bool {
		isLosing := replica <= fmt.Sprintf("i-desk%d", losingReplica)
		return d.trouble && isLosing && rand.Float64() < lostAnswers
	})
	if err != nil {
		return nil, err
	}
	if err := d.startInstances(3); err != nil {
		return nil, err
	}
	time.Sleep(contactTime + time.Second) // all machines are in touch from here on
	var breaks []string
	for n := range encodedCount {
		target, id := fmt.Sprintf("/read%%2Forders%%2F%d", n), fmt.Sprintf("%016x", n+1)
		i := d.instances[n%len(d.instances)]
		status := post(i, id, target, "{}")
		d.record.Printf("client sends %s: POST %s to %s and gets status %d", id, target, i.name, status)
		if runs := replicas.byID(id); len(runs) > 1 {
			breaks = append(breaks, fmt.Sprintf("%s: POST %s ran at %s and at %s", id, target, runs[0].replica, runs[1].replica))
		}
		time.Sleep(lossTime / encodedCount)
	}
	return breaks, nil
}
