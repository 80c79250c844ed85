/** Registers the plug-ins of a scheduler, as its binary does. */
import "@mustardweir/configuration";
import "@mustardweir/membership";
import "@mustardweir/journal";
import "@mustardweir/placement";
import "@mustardweir/fairness";
import "@mustardweir/quarantine";
import "@mustardweir/slice";
import "@mustardweir/home";
