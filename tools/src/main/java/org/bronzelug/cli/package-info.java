/** The command-line tool for operators and callers (docs/CLI.md). */
package org.bronzelug.cli;
