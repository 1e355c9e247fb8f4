// Package show prints responses of entry processes as text for operators or as indented JSON.
package show
