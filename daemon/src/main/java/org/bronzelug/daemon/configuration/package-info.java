/** What the configuration objects mean, and how operators change them. */
package org.bronzelug.daemon.configuration;
