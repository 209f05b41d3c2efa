/** The settings of the router's process, read at its start. */
package org.bronzelug.router.settings;
