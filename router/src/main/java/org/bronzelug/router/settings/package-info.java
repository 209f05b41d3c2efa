/** What the router's process is told at its start. */
package org.bronzelug.router.settings;
