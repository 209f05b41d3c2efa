/** The control thread and the state it owns (DESIGN.md "Freshness", "Configuration"). */
package org.bronzelug.daemon.control;
