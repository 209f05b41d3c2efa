/** Decisions on the network paths from a VM to the endpoints. */
package org.bronzelug.core.path;
