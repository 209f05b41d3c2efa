/** Teams' keys, of which only a digest is stored (DESIGN.md "Keys"). */
package org.bronzelug.core.key;
