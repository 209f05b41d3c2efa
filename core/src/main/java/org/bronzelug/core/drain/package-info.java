/** Graceful stop of a VM (DESIGN.md "Graceful stop"). */
package org.bronzelug.core.drain;
