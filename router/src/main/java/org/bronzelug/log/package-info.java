/** Numbered log events (docs/EVENTS.md). */
package org.bronzelug.log;
