/** Numbered log events (docs/EVENTS.md). */
package org.bronzelug.daemon.log;
