/** The configuration as versioned objects which never go back (DESIGN.md "Configuration"). */
package org.bronzelug.core.configuration;
