/** The daemon's settings: JSON with comments, validated at the start (docs/SETTINGS.md). */
package org.bronzelug.daemon.settings;
