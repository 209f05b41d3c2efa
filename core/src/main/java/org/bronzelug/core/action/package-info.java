/** At-most-once execution of non-idempotent calls (DESIGN.md "Actions"). */
package org.bronzelug.core.action;
