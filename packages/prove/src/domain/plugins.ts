/** Registers the plug-ins of the combined node, as its binary does. */
import "@mustardweir/store-route";
import "@mustardweir/replica";
import "@mustardweir/tenure";
import "@mustardweir/sessions";
import "@mustardweir/permits";
import "@mustardweir/dispatch";
import "@mustardweir/intake";
