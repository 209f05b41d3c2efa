/** The control thread and the state that it owns (DESIGN.md "Freshness", "Configuration"). */
package org.bronzelug.daemon.control;
