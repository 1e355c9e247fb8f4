// Package cmds defines and runs the subcommands of lovctl.
package cmds
