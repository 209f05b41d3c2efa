/** The configuration objects, their contents and audit entries, and how they are written. */
package org.bronzelug.daemon.configuration;
