(import 'coordinators.libsonnet')(2)
