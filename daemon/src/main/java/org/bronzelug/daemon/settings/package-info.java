/** The daemon's settings: JSON with comments, checked at the start (docs/SETTINGS.md). */
package org.bronzelug.daemon.settings;
