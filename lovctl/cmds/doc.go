// Package cmds defines the subcommands of lovctl and carries them out.
package cmds
