// Package show prints answers of entry processes for people or as JSON.
package show
