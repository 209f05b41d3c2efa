/** The configuration: objects whose versions never decrease (DESIGN.md "Configuration"). */
package org.bronzelug.core.configuration;
